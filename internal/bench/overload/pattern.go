// Package overload plays load patterns through the ingresses and egresses of a
// fleet. Only the network, the upstreams and the callers are models. It uses the
// clock of the runtime, so that a test plays a minute in a moment.
package overload

import "time"

// Pattern is the load of a fleet and what goes wrong in it.
type Pattern struct {
	Name     string
	Zones    int
	Services []Service
	Classes  []Class
	// Length is how long callers send requests.
	Length time.Duration
	// Load multiplies the rates of all classes.
	Load float64
	// Failures describes the upstreams that fail at times while they look well.
	Failures FailureModel
	// Surges multiply the load for a while.
	Surges []Surge
	// ZoneDelay is the time of one way within a zone, and CrossZoneDelay that between
	// two zones.
	ZoneDelay, CrossZoneDelay time.Duration
	// RetryRatio and RetrySlack bound the extra attempts at each service.
	RetryRatio, RetrySlack float64
}

// Service is a set of equal upstreams, spread evenly over the zones.
type Service struct {
	Name      string
	Upstreams int
	Slots     int
}

// Class is a kind of request.
type Class struct {
	Name    string
	Service string
	// Rate is in requests per second over the whole fleet, or 0 for a class that
	// only upstreams call.
	Rate float64
	// MedianWork is the median time that a request takes, and Spread the standard
	// deviation of its logarithm.
	MedianWork    time.Duration
	WorkSigma     float64
	TargetLatency time.Duration
	Timeout       time.Duration
	Value         float64
	LateValue     float64
	Priority      int
	Idempotent    bool
	// Attempts is the most upstreams that may run one request.
	Attempts int
	Calls    []Call
	// RequestBytes and AnswerBytes are the sizes of the bodies.
	RequestBytes, AnswerBytes int
}

// Call is what an upstream asks of another service while it runs a request.
type Call struct {
	Class string
	Times int
	// Share is the part of the requests that make the call.
	Share float64
	// Parallel says that the calls are made at once.
	Parallel bool
}

// FailureModel says how upstreams alternate between two states.
type FailureModel struct {
	// MeanHealthy and MeanFailing are the mean times in each state.
	MeanHealthy, MeanFailing time.Duration
	// FailingErrorShare is the part of the requests that fail in the state failing.
	FailingErrorShare float64
	// HealthyErrorShare is the part that fails in the state healthy.
	HealthyErrorShare float64
}

// Surge multiplies the load of a time.
type Surge struct {
	Start, Length time.Duration
	Factor        float64
}

// load returns the factor at a time since the start.
func (p *Pattern) load(at time.Duration) float64 {
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

// Booking is a booking service with upstreams that fail for seconds at a time
// while they look well. Requests to book must not run twice, and call a service
// whose own requests may.
func Booking(load float64) Pattern {
	services := make([]Service, 0, 4)
	for _, name := range []string{"Calendar", "Booking", "Notices", "Launch"} {
		services = append(services, Service{Name: name, Upstreams: 8, Slots: 3})
	}

	return Pattern{
		Name: "booking", Zones: 4, Services: services, Length: 40 * time.Second, Load: load,
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
			called("Roster", "Booking"), called("Weather", "Notices"), called("Duty", "Launch"),
		},
	}
}

// called returns a class of short requests between services.
func called(name, service string) Class {
	return Class{
		Name: name, Service: service, MedianWork: 46 * time.Millisecond, WorkSigma: 0.5, Idempotent: true, Attempts: 2,
		TargetLatency: 200 * time.Millisecond, Timeout: 600 * time.Millisecond, AnswerBytes: 500,
	}
}
