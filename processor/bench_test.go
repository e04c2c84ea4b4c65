package processor

import "testing"

// BenchmarkSample tells what a sample costs: some 30 to 60 microseconds.
func BenchmarkSample(b *testing.B) {
	data := make([]byte, sampleBytes)
	for b.Loop() {
		sample(data)
	}
}
