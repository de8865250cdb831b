package waggateway

import (
	"net/http"
	"strings"
)

func (testProtocol) APIKey(h http.Header) (string, bool) {
	values := h["Key"]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

func (testProtocol) SetCustomer(h http.Header, name string) {
	h.Del("Key")
	h.Del("Customer")
	if name != "" {
		h.Set("Customer", strings.Clone(name))
	}
}
