package config

const (
	// MaxNameLength is the maximum length of names and versions, in bytes.
	MaxNameLength = 128
	// MaxBytes is the maximum size of an item and of an engine's memory, 16 TiB.
	MaxBytes = int64(1) << 44
	// MaxDayMS is the maximum of deadlines and other durations, one day.
	MaxDayMS = int64(86_400_000)
	// MaxCount is the maximum of slots, streams, queue lengths and copies.
	MaxCount = int64(1_000_000)
	// MaxNumber is the maximum of values, weights and prices.
	MaxNumber = 1e9
)

// intBound is an inclusive range of integers.
type intBound struct{ min, max int64 }

// floatBound is a range of numbers that includes max. It includes min unless
// aboveMin is set.
type floatBound struct {
	min, max float64
	aboveMin bool // min is excluded
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
