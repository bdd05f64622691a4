package losses_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/losses"
)

func TestTableCountsByRouteReasonAndWindow(t *testing.T) {
	table := &losses.Table{Interval: 2 * time.Second}
	for line, counts := range map[string]bool{
		"  0.1 front-a-1 time=2026-04-08T08:31:14.2Z level=info event=request request-id=a route=r-1 reason=served status=200": true,
		"time=2026-04-08T08:31:15.9Z level=info event=request request-id=b route=r-1 reason=busy status=503":                   true,
		"time=2026-04-08T08:31:16.0Z level=info event=request request-id=c route=r-2 reason=busy error=\"a b\"":                true,
		"time=2026-04-08T08:31:17.0Z level=info event=request request-id=d route=r-2 reason=busy":                              true,
		"time=2026-04-08T08:31:14.2Z level=info event=try request-id=a reason=cut":                                             false,
		"time=yesterday event=request route=r-1 reason=busy":                                                                   false,
		"time=2026-04-08T08:31:14.2Z event=request route=r-1":                                                                  false,
		"":                  false,
		"panic: \"unclosed": false,
	} {
		require.Equal(t, counts, table.Add(line), line)
	}
	require.Equal(t, []losses.Reason{{"r-2", "busy", 2}, {"r-1", "busy", 1}, {"r-1", losses.Served, 1}}, table.Reasons())
	at := time.Date(2026, 4, 8, 8, 31, 14, 0, time.UTC)
	require.Equal(t, []losses.Window{
		{at, map[string]int{"busy": 1, losses.Served: 1}},
		{at.Add(2 * time.Second), map[string]int{"busy": 2}},
	}, table.Windows())
	require.Empty(t, (&losses.Table{}).Reasons())
}
