package quota

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func regionsOf(parts ...float64) []Region {
	var regions []Region
	for i, part := range parts {
		regions = append(regions, Region{Name: fmt.Sprint("r", i), Share: part})
	}
	return regions
}

// The initial shares of regions add up to the whole, whatever their fractions.
func TestInitial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "regions")
		regions, left := regionsOf(make([]float64, n)...), 1.0
		for i := range regions {
			regions[i].Share = left * rapid.Float64Range(0, 1).Draw(t, "part")
			if i == n-1 {
				regions[i].Share = left
			}
			left -= regions[i].Share
		}
		whole := Share{Limit: RoundDown(rapid.Float64Range(0, 9999).Draw(t, "gpus"), 17), Guarantee: RoundDown(24.5, 0)}
		var sum Share
		for _, r := range regions {
			sum = sum.Plus(Initial(whole, regions, r.Name).Held)
		}
		if sum != whole {
			t.Fatalf("%+v of %+v", sum, whole)
		}
	})
}

// What regions hold and what is in transfer is the whole at each moment, with messages that are lost, duplicated, delayed
// and reordered.
func TestTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := Share{Limit: RoundDown(48, 0), Guarantee: RoundDown(24, 0)}
		regions := regionsOf(0.5, 0.3, 0.2)
		accounts := map[string]*Account{}
		for _, r := range regions {
			accounts[r.Name] = Initial(whole, regions, r.Name)
		}
		var sent []Transfer // all that ever was; each may come at any time, again
		name := rapid.SampledFrom([]string{"r0", "r1", "r2"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from, to := name.Draw(t, "from"), name.Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				amount := func(what string) Amount { return RoundDown(rapid.Float64Range(0, 30).Draw(t, what), 0) }
				needed := Share{Limit: amount("needed"), Guarantee: amount("needed guarantee")}
				if next := accounts[from].Grant(from, to, Share{Limit: amount("asked"), Guarantee: amount("asked guarantee")}, needed); next != nil && from != to {
					sent = append(sent, next.Outgoing[len(next.Outgoing)-1])
					accounts[from] = next
				}
			case 1:
				if len(sent) > 0 {
					x := rapid.SampledFrom(sent).Draw(t, "transfer")
					next, receipt := accounts[x.To].Receive(x)
					accounts[x.To] = next
					if receipt != OutOfOrder && rapid.Bool().Draw(t, "answered") {
						accounts[x.From] = accounts[x.From].Acknowledge(x.To, x.Number)
					}
				}
			default:
				accounts[from] = stored(t, accounts[from])
			}
			checkWhole(t, accounts, whole)
		}
	})
}

// stored gives an account as it is read from the store.
func stored(t *rapid.T, a *Account) *Account {
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

func checkWhole(t *rapid.T, accounts map[string]*Account, whole Share) {
	var sum Share
	for _, a := range accounts {
		sum = sum.Plus(a.Held)
		for _, x := range a.Outgoing {
			if accounts[x.To].Received[x.From] < x.Number {
				sum = sum.Plus(x.Share)
			}
		}
	}
	if sum != whole {
		t.Fatalf("%+v of %+v", sum, whole)
	}
}

// A region grants what it does not need, one transfer to a region at a time, and requests what it lacks of the whole.
func TestGrantAndShortfall(t *testing.T) {
	gpus := func(limit, guarantee float64) Share {
		return Share{Limit: RoundDown(limit, 0), Guarantee: RoundDown(guarantee, 0)}
	}
	a := &Account{Whole: gpus(48, 24), Held: gpus(24, 12)}
	given := a.Grant("r0", "r1", gpus(20, 20), gpus(10, 10))
	if given == nil || given.Held != gpus(10, 10) || !slices.Equal(given.Outgoing, []Transfer{{From: "r0", To: "r1", Number: 1, Share: gpus(14, 2)}}) {
		t.Errorf("%+v", given)
	}
	if again := given.Grant("r0", "r1", gpus(20, 20), Share{}); again != nil {
		t.Errorf("a second transfer while the first is on its way: %+v", again)
	}
	if nothing := a.Grant("r0", "r1", gpus(20, 20), gpus(30, 30)); nothing != nil {
		t.Errorf("given although all is needed: %+v", nothing)
	}
	if missing := a.Shortfall(gpus(100, 100)); missing != gpus(24, 12) {
		t.Errorf("%+v is missing", missing)
	}
	if next, receipt := a.Receive(Transfer{From: "r1", To: "r0", Number: 2, Share: gpus(1, 0)}); receipt != OutOfOrder || next != a {
		t.Errorf("the second transfer comes first: %v", receipt)
	}
	if _, err := Decode([]byte(`{"w":3}`)); err == nil {
		t.Error("an account of another form is read")
	}
}

// However the limit changes after it was divided, what regions may use of it is not above it, and what is needed is not
// less in the units of the accounts.
func TestChangedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		divided := Share{Limit: RoundDown(float64(rapid.IntRange(1, 5000).Draw(t, "divided")), 0)}
		now := Share{Limit: RoundDown(float64(rapid.IntRange(1, 5000).Draw(t, "now")), 30)}
		regions := regionsOf(0.5, 0.3, 0.2)
		var usable Share
		for _, r := range regions {
			a := Initial(divided, regions, r.Name)
			mine := a.Usable(a.Held, now, Initial(now, regions, r.Name).Held)
			usable = usable.Plus(mine)
			if kept := a.ToAccountUnits(mine, now); !mine.Minus(a.Usable(kept, now, Share{Limit: Amount{CPUs: mine.Limit.CPUs}})).Zero() {
				t.Fatalf("%+v is kept as %+v, which is too little", mine, kept)
			}
		}
		if !usable.Minus(now).Zero() {
			t.Fatalf("%+v may be used of %+v", usable, now)
		}
		if usable.Limit.CPUs != now.Limit.CPUs {
			t.Fatalf("%+v may be used of a limit that is new, of %+v", usable, now)
		}
	})
}

// Amounts rounded from floating-point numbers neither exceed a limit nor hide usage.
func TestAmounts(t *testing.T) {
	x := 0.0
	for range 10 {
		x += 0.1
	}
	if RoundDown(x, 0) != RoundUp(x, 0) || RoundDown(x, 0) != RoundDown(1, 0) {
		t.Errorf("ten tenths are %+v and %+v", RoundDown(x, 0), RoundUp(x, 0))
	}
	if RoundDown(0.0015, 0).GPUs != 1 || RoundUp(0.0015, 0).GPUs != 2 {
		t.Error("parts of a thousandth are not rounded to the safe side")
	}
}
