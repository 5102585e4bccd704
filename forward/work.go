package forward

// This file weighs requests by the work that they are for a rank.

const (
	// workUnit is the work of a request of mean size.
	workUnit = 1000
	// promptShare is the part of the prompt in the work of a request of mean size: a stream takes most of its time in the
	// passes that decode it.
	promptShare = 0.25
	// hintTrust is the weight of the caller's estimate of the output against the mean output.
	hintTrust = 0.5
	// sizeWeight is the weight of a request in the moving averages of sizes.
	sizeWeight = 0.02
	// minWork and maxWork bound the work of a request as multiples of the mean.
	minWork, maxWork = 0.25, 4.0
)

type (
	// work is the work of a request, in units of a workUnit-th of that of a mean request.
	work int64

	// meanSizes holds moving averages of the sizes of requests, 0 without a sample.
	meanSizes struct{ prompt, output float64 }
)

// size returns what the request says of its size.
func (j *job) size() RequestSize {
	read := j.server.settings.RequestSize
	if read == nil {
		return RequestSize{}
	}
	return read(j.request.Header)
}

// Tokens returns the tokens of the prompt and those that are expected in the answer, 0 if the request names none.
func (r RequestSize) Tokens() float64 {
	output := r.MaxOutput
	if r.ExpectedOutput > 0 && (output == 0 || r.ExpectedOutput < output) {
		output = r.ExpectedOutput
	}
	return r.Prompt + output
}

// weigh returns the work of a request relative to the mean, and adds the request to the averages. A size that is not
// known counts as the mean.
func (m *meanSizes) weigh(size RequestSize) work {
	output := m.expectedOutput(size)
	prompt := relativeSize(&m.prompt, size.Prompt)
	relative := promptShare*prompt + (1-promptShare)*relativeSize(&m.output, output)
	return work(workUnit * min(max(relative, minWork), maxWork))
}

// expectedOutput returns the estimated output of a request, 0 if nothing is known of it.
func (m *meanSizes) expectedOutput(size RequestSize) float64 {
	output := size.ExpectedOutput
	switch {
	case output <= 0:
		output = m.output
	case m.output > 0:
		output = hintTrust*output + (1-hintTrust)*m.output
	}
	if size.MaxOutput > 0 && (output <= 0 || output > size.MaxOutput) {
		output = size.MaxOutput
	}
	return output
}

// relativeSize returns a size divided by the mean, which it updates. It returns 1 for an unknown size.
func relativeSize(mean *float64, size float64) float64 {
	if size <= 0 {
		return 1
	}
	if *mean == 0 {
		*mean = size
	}
	// Sizes are what callers say. A single one that is far off must not change the work of all others.
	largest := maxWork * *mean
	*mean += sizeWeight * (min(size, largest) - *mean)
	return size / *mean
}
