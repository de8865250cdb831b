package waggateway

import (
	"net/http"
	"time"
)

func (testProtocol) ColdUntil(http.Header, time.Time) time.Time { return time.Time{} }
