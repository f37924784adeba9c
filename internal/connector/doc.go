// Package connector is the network client of the platform's key-value service:
// the published HTTP/JSON mapping of the etcd v3 API through resty.
package connector
