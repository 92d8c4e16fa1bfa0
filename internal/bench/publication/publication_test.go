package publication

import "testing"

// Guards against a layout whose traffic alone exceeds the control-plane budget
// of 3 KB/s per daemon, or whose largest object the store does not accept (sections 1.3
// and 1.4 of the design).
func TestLayoutsAtTarget(t *testing.T) {
	t.Parallel()
	rows := CompareLayouts(Target)
	for _, row := range rows {
		t.Logf("%+v", row)
	}
	chosen := rows[len(rows)-1]
	if !chosen.Accepted || chosen.BytesPerSecond > 3000 {
		t.Errorf("got %+v, want at most 3000 bytes per second in objects that the store accepts", chosen)
	}
	if rows[0].Accepted {
		t.Errorf("got %+v, want an object that is too large", rows[0])
	}
}

// Guards against measuring a configuration that daemons would reject.
func TestInstallSmallConfiguration(t *testing.T) {
	t.Parallel()
	if _, err := Install(t.Context(), Size{Teams: 70, Routes: 500, ClientAccounts: 2800, ChangesPerDay: 70}); err != nil {
		t.Error(err)
	}
}
