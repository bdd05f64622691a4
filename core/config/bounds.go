package config

const (
	// MaxNameLength bounds names and versions, in bytes.
	MaxNameLength = 128
	// MaxBytes bounds every size of an item and of a memory: 16 TiB.
	MaxBytes = int64(1) << 44
	// MaxDayMS bounds deadlines and other times: one day.
	MaxDayMS = int64(86_400_000)
	// MaxCount bounds slots, streams and queues.
	MaxCount = int64(1_000_000)
	// MaxNumber bounds values, weights and prices.
	MaxNumber = 1e9
)

// intBound is the bounds of a whole number, both inclusive.
type intBound struct{ min, max int64 }

// floatBound is the bounds of a number, max inclusive, min as aboveMin says.
type floatBound struct {
	min, max float64
	aboveMin bool // min itself is refused
}

var (
	bytesBound      = intBound{min: 1, max: MaxBytes}
	zeroBytesBound  = intBound{min: 0, max: MaxBytes}
	deadlineBound   = intBound{min: 1, max: MaxDayMS}
	lifetimeBound   = intBound{min: 1, max: MaxDayMS}
	copiesBound     = intBound{min: 1, max: MaxCount}
	countBound      = intBound{min: 1, max: MaxCount}
	bodyBound       = intBound{min: 1 << 10, max: 64 << 20}
	headerBound     = intBound{min: 1 << 10, max: 1 << 20}
	idleBound       = intBound{min: 1000, max: 3_600_000}
	loadsBound      = intBound{min: 1, max: 10_000}
	residenceBound  = intBound{min: 0, max: MaxDayMS}
	periodBound     = intBound{min: 100, max: 60_000}
	positiveBound   = floatBound{min: 0, max: MaxNumber, aboveMin: true}
	priceBound      = floatBound{min: 0, max: MaxNumber}
	stepBound       = floatBound{min: 0, max: 60_000, aboveMin: true}
	retryShareBound = floatBound{min: 0, max: 1}
	loadsRateBound  = floatBound{min: 0, max: 10_000, aboveMin: true}
)
