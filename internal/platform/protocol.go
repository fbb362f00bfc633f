package platform

import "github.com/rosemaryspoke/rosemaryspoke/pkg/ident"

// Paths of the HTTP interface. Reads are GET with query parameters, writes are POST with a JSON body.
const (
	PathItem   = "/v1/item"         // GET key, returns Item
	PathItems  = "/v1/items"        // GET prefix, returns ItemsReply
	PathWatch  = "/v1/watch"        // GET prefix, after, wait-millis, returns WatchReply
	PathSwap   = "/v1/item/swap"    // POST SwapRequest, returns SwapReply
	PathDelete = "/v1/item/delete"  // POST DeleteRequest, returns an empty object
	PathGrant  = "/v1/lease/grant"  // POST LeaseMessage with a time to live, returns LeaseMessage with the id
	PathRenew  = "/v1/lease/renew"  // POST LeaseMessage with the id, returns an empty object
	PathRevoke = "/v1/lease/revoke" // POST LeaseMessage with the id, returns an empty object
	PathHosts  = "/v1/hosts"        // GET known (optional), returns HostsReply
)

// HeaderRegion carries the region of the calling process.
const HeaderRegion = "x-client-region"

// Codes of an ErrorReply. A reply without a known code leaves the outcome of a write unknown.
const (
	CodeConflict    = "conflict"
	CodeNotFound    = "not-found"
	CodeTooLarge    = "too-large"
	CodeUnavailable = "unavailable"
	CodeInvalid     = "invalid"
)

// ErrorReply is the body of every reply with a status other than 200.
type ErrorReply struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ItemsReply is the reply to a list.
type ItemsReply struct {
	Items []Item `json:"items"`
}

// SwapRequest asks for a compare-and-swap of one key.
type SwapRequest struct {
	Key    string   `json:"key"`
	Expect Revision `json:"expect"`
	Value  []byte   `json:"value"`
	Lease  LeaseID  `json:"lease,omitempty"`
}

// SwapReply is the reply to a compare-and-swap.
type SwapReply struct {
	Revision Revision `json:"revision"`
}

// DeleteRequest asks to remove a key at a revision.
type DeleteRequest struct {
	Key    string   `json:"key"`
	Expect Revision `json:"expect"`
}

// LeaseMessage holds the id of a lease, or the time to live of one to be granted.
type LeaseMessage struct {
	ID        LeaseID `json:"id,omitempty"`
	TTLMillis int64   `json:"ttl-millis,omitempty"`
}

// WatchReply is the reply to a watch.
type WatchReply struct {
	Events   []Event  `json:"events"`
	Revision Revision `json:"revision"` // revision to continue from
}

// HostsReply is the reply to a host list request. A request may name the version that the client has; the platform may
// then set Since to it and return only what changed from it to Version. A platform that has no versions, or no longer
// knows the client's, returns all hosts.
type HostsReply struct {
	Hosts   []Host         `json:"hosts,omitempty"` // all hosts, or with Since the new and changed ones
	Removed []ident.HostID `json:"removed,omitempty"`
	Version string         `json:"version,omitempty"`
	Since   string         `json:"since,omitempty"`
	Count   int            `json:"count,omitempty"` // with Since, the length of the list at Version
}
