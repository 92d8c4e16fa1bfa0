// Package overload plays load patterns through the ingresses and egresses of a
// fleet. Only the network, the upstreams and the callers are models. It uses the
// clock of the runtime, so that a test in a testing/synctest bubble plays a minute of
// load without waiting for it.
package overload

import "time"

// Pattern describes a fleet, its load and the failures of its upstreams.
type Pattern struct {
	Name     string
	Zones    int
	Services []Service
	Classes  []Class
	// Length is how long callers send requests.
	Length time.Duration
	// Load is a factor on the rates of all classes.
	Load float64
	// Failures describes the periods in which upstreams fail requests although they are
	// reported as ready.
	Failures FailureModel
	// Surges are the intervals of higher load.
	Surges []Surge
	// ZoneDelay is the network delay in one direction within a zone, and CrossZoneDelay
	// the delay between two zones.
	ZoneDelay, CrossZoneDelay time.Duration
	// RetryRatio is the number of extra attempts allowed per request of a service, and
	// RetrySlack the number allowed in addition within retryWindow.
	RetryRatio, RetrySlack float64
}

// Service is a set of identical upstreams, spread evenly over the zones.
type Service struct {
	Name      string
	Upstreams int
	// Slots is the number of requests that each upstream runs at the same time.
	Slots int
}

// Class describes the requests of one route.
type Class struct {
	Name    string
	Service string
	// Rate is in requests per second over the whole fleet, or 0 for a class that
	// only upstreams send.
	Rate float64
	// MedianWork is the median time for which an upstream runs a request, without its
	// calls. The time is log-normal, and WorkSigma is the standard deviation of its
	// natural logarithm.
	MedianWork    time.Duration
	WorkSigma     float64
	TargetLatency time.Duration
	Timeout       time.Duration
	// Value is the value of a request served within TargetLatency, and LateValue the
	// value of a request served later. Both are without a unit. Requests of a class with
	// a Value of 0 are not counted.
	Value      float64
	LateValue  float64
	Priority   int
	Idempotent bool
	// Attempts is the largest number of attempts for one request.
	Attempts int
	Calls    []Call
	// RequestBytes and AnswerBytes are the sizes of the bodies in bytes.
	RequestBytes, AnswerBytes int
}

// Call describes the calls that an upstream makes to another service while it runs a
// request.
type Call struct {
	Class string
	Times int
	// Share is the share, 0 to 1, of requests that make the calls.
	Share float64
	// Parallel makes all calls at the same time instead of one after another.
	Parallel bool
}

// FailureModel describes how upstreams alternate between a healthy and a failing state.
// The time in each state is exponentially distributed.
type FailureModel struct {
	// MeanHealthy and MeanFailing are the mean times in each state. With a MeanFailing of
	// 0 upstreams stay healthy.
	MeanHealthy, MeanFailing time.Duration
	// FailingErrorShare is the share, 0 to 1, of requests that fail in the failing state.
	FailingErrorShare float64
	// HealthyErrorShare is the share, 0 to 1, of requests that fail in the healthy state.
	HealthyErrorShare float64
}

// Surge multiplies the load by Factor for Length from Start, counted from the beginning
// of the pattern.
type Surge struct {
	Start, Length time.Duration
	Factor        float64
}

// loadAt returns the factor on the rates of all classes at a time since the start.
func (p *Pattern) loadAt(at time.Duration) float64 {
	load := p.Load
	for _, s := range p.Surges {
		if at >= s.Start && at < s.Start+s.Length {
			load *= s.Factor
		}
	}

	return load
}

func (p *Pattern) class(name string) *Class {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return &p.Classes[i]
		}
	}

	return nil
}

// Booking returns the pattern of a booking service whose upstreams fail for seconds at a
// time while they are reported as ready. Requests to book are not idempotent and must not
// run twice; they call a service whose requests are idempotent. loadFactor multiplies the
// rates of all classes.
func Booking(loadFactor float64) Pattern {
	services := make([]Service, 0, 4)
	for _, name := range []string{"Calendar", "Booking", "Notices", "Launch"} {
		services = append(services, Service{Name: name, Upstreams: 8, Slots: 3})
	}

	return Pattern{
		Name: "booking", Zones: 4, Services: services, Length: 40 * time.Second, Load: loadFactor,
		Failures:  FailureModel{MeanHealthy: 14 * time.Second, MeanFailing: 6 * time.Second, FailingErrorShare: 0.8, HealthyErrorShare: 0.012},
		ZoneDelay: 100 * time.Microsecond, CrossZoneDelay: 500 * time.Microsecond,
		RetryRatio: 0.2, RetrySlack: 56,
		Classes: []Class{
			{
				Name: "Read", Service: "Calendar", Rate: 9.5, MedianWork: 240 * time.Millisecond, WorkSigma: 0.5, Priority: 2,
				TargetLatency: 800 * time.Millisecond, Timeout: 1200 * time.Millisecond, Value: 1, LateValue: 0.3,
				Idempotent: true, Attempts: 2, Calls: []Call{{Class: "Roster", Times: 1, Share: 0.7, Parallel: true}},
				AnswerBytes: 1500,
			},
			{
				Name: "Book", Service: "Booking", Rate: 31.6, MedianWork: 200 * time.Millisecond, WorkSigma: 0.3, Priority: 1,
				TargetLatency: 800 * time.Millisecond, Timeout: 1500 * time.Millisecond, Value: 2, LateValue: 0.6, Attempts: 2,
				Calls:        []Call{{Class: "Weather", Times: 2, Share: 0.7}},
				RequestBytes: 300, AnswerBytes: 5000,
			},
			{
				Name: "Notice", Service: "Notices", Rate: 10, MedianWork: 460 * time.Millisecond, WorkSigma: 0.5, Priority: 2,
				TargetLatency: 1500 * time.Millisecond, Timeout: 3 * time.Second, Value: 1, LateValue: 0.3,
				Idempotent: true, Attempts: 2, Calls: []Call{{Class: "Duty", Times: 1, Share: 0.7, Parallel: true}},
				AnswerBytes: 5000,
			},
			{
				Name: "Confirm", Service: "Launch", Rate: 3.9, MedianWork: 150 * time.Millisecond, WorkSigma: 0.5, Priority: 2,
				TargetLatency: 500 * time.Millisecond, Timeout: time.Second, Value: 1, LateValue: 0.3, Attempts: 2, AnswerBytes: 400,
			},
			nestedClass("Roster", "Booking"), nestedClass("Weather", "Notices"), nestedClass("Duty", "Launch"),
		},
	}
}

// nestedClass returns a class of short idempotent requests that only upstreams send.
func nestedClass(name, service string) Class {
	return Class{
		Name: name, Service: service, MedianWork: 46 * time.Millisecond, WorkSigma: 0.5, Idempotent: true, Attempts: 2,
		TargetLatency: 200 * time.Millisecond, Timeout: 600 * time.Millisecond, AnswerBytes: 500,
	}
}
