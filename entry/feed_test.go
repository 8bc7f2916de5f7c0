package entry

import (
	"testing"
	"time"

	"trefoildeck/core/resource"
	"trefoildeck/core/routing"
	"trefoildeck/settings"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestDeletedDataCentre checks that an endpoint gets no requests once its data centre is
// deleted, also if its outage is deleted in the same set.
func TestDeletedDataCentre(t *testing.T) {
	e, err := New(settings.Entry{}, nil, zap.NewNop())
	assert.NilError(t, err)

	set := func(revision int64, deleted bool) {
		for _, id := range []resource.ID{dataCentreID("lannion"), outageID("lannion")} {
			r := resource.Resource{
				ID:       id,
				Revision: revision,
				Deleted:  deleted,
			}

			e.catalog.Merge([]resource.Resource{r})
		}

		for _, id := range []resource.ID{dataCentreID("lannion"), outageID("lannion")} {
			e.applyResource(resource.Resource{
				ID:       id,
				Revision: revision,
				Deleted:  deleted,
			})
		}
	}

	set(1, false)
	e.routes.Announce(time.Now(), routing.Announcement{
		Service:    "orders",
		Endpoint:   "worker-1",
		DataCentre: "lannion",
		Slots:      1,
	})
	set(2, true)
	assert.Equal(t, e.routes.Available("orders"), false)
}
