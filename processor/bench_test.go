package processor

import "testing"

// BenchmarkSample shows the cost of a sample: some 30 to 60 microseconds.
func BenchmarkSample(b *testing.B) {
	data := make([]byte, sampleBytes)
	for b.Loop() {
		runSample(data)
	}
}
