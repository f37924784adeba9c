// Package connector is the network client of the platform's key-value service
// and its list of VMs: the published HTTP/JSON mapping of the etcd v3 API through resty.
//
// It never repeats a write that may have left this process. Its results and
// errors are those of package storer.
package connector
