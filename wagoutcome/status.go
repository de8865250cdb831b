package wagoutcome

import "net/http"

// maxStatus is the largest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// IsFinalStatus reports whether a status is that of a final response. Clients of net/http
// return statuses outside the range of HTTP, such as 0, like any other.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// IsInformationalStatus reports whether a status is that of an informational response.
func IsInformationalStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}
