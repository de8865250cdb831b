package wagowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagquota"
)

// silentLinks reaches a coordinator that never replies.
type silentLinks struct{ localLinks }

// QuotaCoordinator returns another host.
func (silentLinks) QuotaCoordinator(int) (string, bool) { return "other", false }

// runQuotaOwner runs f with an owner of a server and of quotas. A nil links makes it the
// coordinator as well.
func runQuotaOwner(t *testing.T, links QuotaLinks, f func(is *is.I, o *Owner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := New("a", &prober{}, WithLimits(Limits{Quota: QuotaLimits{Window: 5 * time.Second, Overage: 0.1, Slack: 20, DataCentres: 1}}))
		if links != nil {
			o.SetQuotaLinks(links)
		}
		o.SetServers(servers(map[string]int{"a": 4}))
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error { return o.Run(ctx) })
		defer func() {
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		}()
		f(is.New(t), o)
	})
}

// placeFor sends requests of a customer, 10 ms apart, and counts those that are granted and
// those that are refused because of the quota.
func placeFor(o *Owner, n int, change func(*wagplacement.Request)) (granted, refused int, retryAt time.Time) {
	for range n {
		r := request()
		r.Customer = "hot"
		if change != nil {
			change(&r)
		}
		switch x := o.Place(context.Background(), "lots", r).(type) {
		case Granted:
			granted++
			x.Finish(wagplacement.Result{})
		case Refused:
			if x.Reason == wagplacement.ReasonQuota {
				refused++
				retryAt = x.RetryAt
			}
		}
		time.Sleep(10 * time.Millisecond) //nolint:forbidigo // The time of a bubble passes at once.
	}
	return granted, refused, retryAt
}

// Guards against a customer that sends 10 times its limit, and against a refusal without a
// time at which it may come back.
func TestQuotaOfHotCustomer(t *testing.T) {
	runQuotaOwner(t, nil, func(is *is.I, o *Owner) {
		o.SetCustomers(wagquota.Limits{"hot": {Rate: 10, Burst: 10}}, []string{"lots"})
		time.Sleep(2 * time.Second) //nolint:forbidigo // The time of a bubble passes at once.
		granted, refused, retryAt := placeFor(o, 500, nil)
		is.Equal(granted+refused, 500)
		is.True(granted >= 50 && granted <= (10*5+10)*11/10+20)
		is.True(retryAt.After(time.Now().Add(-time.Second)))
	})
}

// Guards against quotas for customers without a limit, repeats, hedges, requests of other
// data centres, and settings without a window.
func TestRequestsWithoutQuota(t *testing.T) {
	runQuotaOwner(t, nil, func(is *is.I, o *Owner) {
		o.SetCustomers(wagquota.Limits{"hot": {Rate: 1, Burst: 1}}, []string{"lots"})
		for _, change := range []func(*wagplacement.Request){
			func(r *wagplacement.Request) { r.Customer = "other" },
			func(r *wagplacement.Request) { r.Customer = "" },
			func(r *wagplacement.Request) { r.Repeat = true },
			func(r *wagplacement.Request) { r.Hedge = true },
			func(r *wagplacement.Request) { r.Foreign = true },
		} {
			_, refused, _ := placeFor(o, 50, change)
			is.Equal(refused, 0)
		}
	})
	runOwner(t, &prober{}, func(is *is.I, o *Owner) {
		o.SetServers(servers(map[string]int{"a": 4}))
		o.SetCustomers(wagquota.Limits{"hot": {Rate: 1, Burst: 1}}, []string{"lots"})
		granted, _, _ := placeFor(o, 50, nil)
		is.Equal(granted, 50)
	})
}

// Guards against charges for requests that got no server: their credit can be used again.
func TestCreditOfRefusedRequests(t *testing.T) {
	runQuotaOwner(t, nil, func(is *is.I, o *Owner) {
		o.SetCustomers(wagquota.Limits{"hot": {Rate: 5, Burst: 5}}, []string{"lots"})
		time.Sleep(2 * time.Second) //nolint:forbidigo // The time of a bubble passes at once.
		for range 20 {
			r := request()
			r.Customer, r.Goal, r.Deadline = "hot", time.Now(), time.Now()
			x, ok := o.Place(context.Background(), "lots", r).(Refused)
			is.True(ok)
			is.True(x.Reason != wagplacement.ReasonQuota) // its deadline has passed
		}
		granted, _, _ := placeFor(o, 5, nil)
		is.Equal(granted, 5)
	})
}

// Guards against requests that hang, or exceed the share of this part, while the
// coordinator does not reply.
func TestSilentCoordinator(t *testing.T) {
	runQuotaOwner(t, silentLinks{}, func(is *is.I, o *Owner) {
		o.SetCustomers(wagquota.Limits{"hot": {Rate: 20, Burst: 20}}, []string{"lots", "other"})
		began := time.Now()
		debt := wagquota.DebtLimit(20, 2)
		granted, refused, _ := placeFor(o, debt+4, nil)
		is.Equal(granted, debt)
		is.Equal(refused, 4)
		is.True(time.Since(began) < time.Duration(debt+4)*10*time.Millisecond+4*wagquota.WaitTimeout+10*time.Millisecond)
		time.Sleep(2 * time.Second) //nolint:forbidigo // The time of a bubble passes at once.
		granted, _, _ = placeFor(o, 500, nil)
		is.True(granted >= 27 && granted <= 40) // two thirds of half of the rate for 5 s
		is.True(o.QuotaStats().ReportsSent > 0)
	})
}

// Guards against a caller that leaves while its request waits for credit: the request must
// not be submitted afterwards.
func TestCallerLeavesWhileWaitingForCredit(t *testing.T) {
	runQuotaOwner(t, silentLinks{}, func(is *is.I, o *Owner) {
		o.SetCustomers(wagquota.Limits{"hot": {Rate: 20, Burst: 20}}, []string{"lots"})
		placeFor(o, wagquota.DebtLimit(20, 1), nil)
		r := request()
		r.Customer = "hot"
		replied := 0
		ticket := o.Submit("lots", r, func(Outcome) { replied++ })
		is.True(ticket.IsWaiting())
		is.True(ticket.Cancel())
		time.Sleep(time.Second) //nolint:forbidigo // The time of a bubble passes at once.
		synctest.Wait()
		is.Equal(replied, 0)
	})
}
