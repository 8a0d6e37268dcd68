package codec_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/wire/codec"
)

// TestEvacuationsRoundTrip guards against an evacuation or a restore that a daemon loses or turns round when it tells a peer.
func TestEvacuationsRoundTrip(t *testing.T) {
	changes := []roster.Change{
		roster.DataCentreEvacuated{DataCentre: "d", Revision: 8}, roster.DataCentreRestored{DataCentre: "e", Revision: 9},
	}
	var b bytes.Buffer
	_, err := codec.Write(&b, codec.ChangesReply{Changes: roster.Changes{Changes: changes, Revision: 9}}, time.Now())
	qt.Assert(t, err, qt.IsNil)
	m, _, err := codec.Read(&b, 1<<20, time.Now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m.(codec.ChangesReply).Changes.Changes, qt.DeepEquals, changes)
}
