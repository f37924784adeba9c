package cataloguer

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Bounds of what entries of the store may say. Another writer may have written them, and all nodes hold and add up what they say.
const (
	// maxSlots is the number of ports of one address. Each request takes a connection, and one address opens no more of them to a
	// server.
	maxSlots = 1 << 16
	// maxNameBytes is more than the length of any key of the store, whose parts are names.
	maxNameBytes = 512
	// maxCapacity is more than any machine has in proportion to another one. Sums of capacities stay exact.
	maxCapacity = 1 << 20
)

var (
	broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

	errNoAddress = errors.New("not the IP:port of one machine")
)

// Validate returns an error if no server can be what the upstream says.
func (u *Upstream) Validate() error {
	if u.Slots < 1 || u.Slots > maxSlots {
		return errors.Newf("slots: %d is not from 1 to %d", u.Slots, maxSlots)
	}

	if u.Service == "" {
		return errors.New("service: empty")
	}

	if err := validateNames(u.ID, u.Service, u.FailureDomain, u.SoftwareVersion); err != nil {
		return err
	}

	return errors.Wrap(ValidateAddress(u.Address), "address")
}

// Validate returns an error if no node can be what the entry says.
func (n *Node) Validate() error {
	// The comparison is false for NaN.
	if !(n.Capacity >= 0 && n.Capacity <= maxCapacity) {
		return errors.Newf("capacity: %g is not from 0 to %d", n.Capacity, maxCapacity)
	}

	if err := validateNames(n.FailureDomain); err != nil {
		return err
	}

	return errors.CombineErrors(errors.Wrap(ValidateAddress(n.Name), "name"), errors.Wrap(ValidateAddress(n.Address), "address"))
}

func validateNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return errors.Newf("a name of %d bytes", len(name))
		}
	}

	return nil
}

// ValidateAddress returns an error unless text is the IP:port of one machine as all others reach it. The unspecified address would lead
// each node to itself, and zones are names of one machine's own links.
func ValidateAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		// The error of netip holds the text, which may be long.
		return errNoAddress
	}

	ip := address.Addr().Unmap()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast || ip.Zone() != "" {
		return errors.Wrap(errNoAddress, address.String())
	}

	return nil
}
