package core

// hourlyBudget is what may be used of something that operators bound by the hour.
type hourlyBudget struct {
	left float64
	at   float64 // when that was worked out, in seconds
}

// secondsAnHour turns a budget an hour into one a second.
const secondsAnHour = 3600

// refill adds what the budget allows since the last look, up to a most.
func (b *hourlyBudget) refill(now, perHour, most float64) {
	b.left = min(most, b.left+perHour/secondsAnHour*(now-b.at))
	b.at = now
}
