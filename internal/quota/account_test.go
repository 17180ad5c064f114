package quota

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// regionsOf returns regions with the given fractions of each limit.
func regionsOf(fractions ...float64) []Region {
	var regions []Region
	for i, fraction := range fractions {
		regions = append(regions, Region{Name: fmt.Sprint("r", i), Share: fraction})
	}
	return regions
}

// TestInitial checks that the regions' initial shares add up to the total, whatever their fractions are.
func TestInitial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "regions")
		regions, left := regionsOf(make([]float64, n)...), 1.0
		for i := range regions {
			regions[i].Share = left * rapid.Float64Range(0, 1).Draw(t, "fraction")
			if i == n-1 {
				regions[i].Share = left
			}
			left -= regions[i].Share
		}
		total := Share{Limit: RoundDown(rapid.Float64Range(0, 9999).Draw(t, "gpus"), 17), Guarantee: RoundDown(24.5, 0)}
		var sum Share
		for _, r := range regions {
			sum = sum.Plus(Initial(total, regions, r.Name).Held)
		}
		if sum != total {
			t.Fatalf("initial shares add up to %+v, want %+v", sum, total)
		}
	})
}

// TestTransfers checks that the shares held and those in transfer always add up to the total while messages are lost,
// duplicated, delayed and reordered.
func TestTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := Share{Limit: RoundDown(48, 0), Guarantee: RoundDown(24, 0)}
		regions := regionsOf(0.5, 0.3, 0.2)
		accounts := map[string]*Account{}
		for _, r := range regions {
			accounts[r.Name] = Initial(total, regions, r.Name)
		}
		var sent []Transfer // all transfers so far; each may be delivered at any time, also repeatedly
		name := rapid.SampledFrom([]string{"r0", "r1", "r2"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from, to := name.Draw(t, "from"), name.Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				amount := func(what string) Amount { return RoundDown(rapid.Float64Range(0, 30).Draw(t, what), 0) }
				needed := Share{Limit: amount("needed"), Guarantee: amount("needed guarantee")}
				if next := accounts[from].Grant(from, to, Share{Limit: amount("requested"), Guarantee: amount("requested guarantee")}, needed); next != nil && from != to {
					sent = append(sent, next.Outgoing[len(next.Outgoing)-1])
					accounts[from] = next
				}
			case 1:
				if len(sent) > 0 {
					transfer := rapid.SampledFrom(sent).Draw(t, "transfer")
					next, receipt := accounts[transfer.To].Receive(transfer)
					accounts[transfer.To] = next
					if receipt != OutOfOrder && rapid.Bool().Draw(t, "acknowledged") {
						accounts[transfer.From] = accounts[transfer.From].Acknowledge(transfer.To, transfer.Number)
					}
				}
			default:
				accounts[from] = reloaded(t, accounts[from])
			}
			checkTotal(t, accounts, total)
		}
	})
}

// reloaded returns an account after it was encoded and decoded, as by a restart.
func reloaded(t *rapid.T, a *Account) *Account {
	data, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// checkTotal checks that the shares held and those not yet received add up to the total.
func checkTotal(t *rapid.T, accounts map[string]*Account, total Share) {
	var sum Share
	for _, a := range accounts {
		sum = sum.Plus(a.Held)
		for _, transfer := range a.Outgoing {
			if accounts[transfer.To].Received[transfer.From] < transfer.Number {
				sum = sum.Plus(transfer.Share)
			}
		}
	}
	if sum != total {
		t.Fatalf("shares held and in transfer add up to %+v, want %+v", sum, total)
	}
}

// TestGrantAndMissingShare checks that a region grants only what it does not need, one transfer to a region at a time, and
// that it requests what it lacks, up to the total.
func TestGrantAndMissingShare(t *testing.T) {
	gpus := func(limit, guarantee float64) Share {
		return Share{Limit: RoundDown(limit, 0), Guarantee: RoundDown(guarantee, 0)}
	}
	a := &Account{Total: gpus(48, 24), Held: gpus(24, 12)}
	granted := a.Grant("r0", "r1", gpus(20, 20), gpus(10, 10))
	if granted == nil || granted.Held != gpus(10, 10) || !slices.Equal(granted.Outgoing, []Transfer{{From: "r0", To: "r1", Number: 1, Share: gpus(14, 2)}}) {
		t.Errorf("account after the grant: %+v", granted)
	}
	if again := granted.Grant("r0", "r1", gpus(20, 20), Share{}); again != nil {
		t.Errorf("second transfer before the first was acknowledged: %+v", again)
	}
	if nothing := a.Grant("r0", "r1", gpus(20, 20), gpus(30, 30)); nothing != nil {
		t.Errorf("granted although everything is needed: %+v", nothing)
	}
	if missing := a.MissingShare(gpus(100, 100)); missing != gpus(24, 12) {
		t.Errorf("shortfall is %+v", missing)
	}
	if next, receipt := a.Receive(Transfer{From: "r1", To: "r0", Number: 2, Share: gpus(1, 0)}); receipt != OutOfOrder || next != a {
		t.Errorf("second transfer received before the first: %v", receipt)
	}
	if _, err := Decode([]byte(`{"w":3}`)); err == nil {
		t.Error("an account of another form was decoded")
	}
}

// TestChangedLimit checks conversions after a limit has changed since it was divided. The regions together may not use
// more than the new limit, and a needed share converted to units of the accounts may not become smaller.
func TestChangedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		divided := Share{Limit: RoundDown(float64(rapid.IntRange(1, 5000).Draw(t, "divided")), 0)}
		now := Share{Limit: RoundDown(float64(rapid.IntRange(1, 5000).Draw(t, "now")), 30)}
		regions := regionsOf(0.5, 0.3, 0.2)
		var usable Share
		for _, r := range regions {
			a := Initial(divided, regions, r.Name)
			own := a.Usable(a.Held, now, Initial(now, regions, r.Name).Held)
			usable = usable.Plus(own)
			if converted := a.ToAccountUnits(own, now); !own.Minus(a.Usable(converted, now, Share{Limit: Amount{CPUs: own.Limit.CPUs}})).IsZero() {
				t.Fatalf("%+v converts to %+v in units of the account, which is too little", own, converted)
			}
		}
		if !usable.Minus(now).IsZero() {
			t.Fatalf("the regions may use %+v of a limit of %+v", usable, now)
		}
		if usable.Limit.CPUs != now.Limit.CPUs {
			t.Fatalf("the regions may use %+v of CPUs that were unlimited before, limit %+v", usable, now)
		}
	})
}

// TestAmounts checks that amounts rounded from floating-point numbers neither exceed a limit nor hide usage.
func TestAmounts(t *testing.T) {
	x := 0.0
	for range 10 {
		x += 0.1
	}
	if RoundDown(x, 0) != RoundUp(x, 0) || RoundDown(x, 0) != RoundDown(1, 0) {
		t.Errorf("ten times 0.1 rounds to %+v and %+v, want 1", RoundDown(x, 0), RoundUp(x, 0))
	}
	if RoundDown(0.0015, 0).GPUs != 1 || RoundUp(0.0015, 0).GPUs != 2 {
		t.Error("fractions of a thousandth are not rounded to the safe side")
	}
}
