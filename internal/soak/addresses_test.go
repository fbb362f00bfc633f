package soak

import "testing"

// Guards against two soaks of one seed that use the same addresses, as those of processes whose ids are equal modulo 300 did.
func TestAddressesOfTwoSoaks(t *testing.T) {
	reserve := func(processID int) *addressBlock {
		t.Helper()
		a, err := reserveAddresses(processID, 9)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = a.release() })
		return a
	}
	first, second, third := reserve(7), reserve(7+portBlocks), reserve(8)
	if first.port == second.port || second.port == third.port || first.port == third.port {
		t.Errorf("ports %d, %d and %d for the same IP addresses", first.port, second.port, third.port)
	}
	if err := first.release(); err != nil {
		t.Fatal(err)
	}
	if again := reserve(7); again.port != first.port {
		t.Errorf("port %d after %d was released", again.port, first.port)
	}
}
