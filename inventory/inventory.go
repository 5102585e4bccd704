// Package inventory is the operators' inventory: the upstreams, groups, models, services and organisations
// that they own, and the rules on top. It is written in JSON with comments, with the field names of these
// types. Parse reads it and reports every problem at once, at its place in the file; control accepts only
// an inventory without problems.
package inventory

import "time"

type (
	// Inventory is one revision as the operators wrote it, with defaults filled in. It is not changed
	// after Parse.
	Inventory struct {
		Upstreams     []Upstream
		Groups        []Group
		Models        []Model
		Services      []Service
		Organisations []Organisation
		Rules         Rules

		index index
	}

	// Upstream is one instance that requests and orders go to.
	Upstream struct {
		Name string `document:"required"`
		// Owner is the team or customer that owns the instance.
		Owner         string
		FailureDomain string `document:"required"`
		// Services names the models and services that it serves.
		Services []string
		// Group is the group of ranks that it belongs to, if any.
		Group string
		// ChecksFencing is true when the engine itself refuses orders with an old fencing token.
		ChecksFencing bool
		// AnswersReference is true when it can be asked by a call's key whether the call ran.
		AnswersReference bool
	}

	// Group is a group of ranks that run in lock-step on one expert map.
	Group struct {
		Name  string `document:"required"`
		Model string `document:"required"`
		Ranks int    `document:"required,min=1,max=1024"`
		// Experts is the number of experts in each layer.
		Experts int `document:"required,min=1,max=4096"`
		Layers  int `document:"required,min=1,max=1024"`
		// SpareSlots is the number of expert slots in each rank and layer beyond an even share.
		SpareSlots int `document:"min=0,max=256"`
	}

	// Model is a model that engines serve.
	Model struct {
		Name string `document:"required"`
		// Services names the engine services of the model, such as "chat".
		Services []string
		// Weight is the worth of one answered request.
		Weight float64 `document:"min=0,max=1000000"`
	}

	// Service is a plain service with its declared paths.
	Service struct {
		Name   string  `document:"required"`
		Weight float64 `document:"min=0,max=1000000"`
		Routes []Route `document:"required"`
	}

	// Route is one declared path of a service.
	Route struct {
		// Method is an HTTP method; empty stands for any.
		Method string `document:"oneof=|GET|HEAD|POST|PUT|PATCH|DELETE"`
		// Path is the declared path; with a "/" at its end it stands for all paths below.
		Path string `document:"required"`
		// Repeatable is true when a call may run more than once. Other calls need an idempotency key.
		Repeatable bool
	}

	// Organisation is a customer.
	Organisation struct {
		Name string `document:"required"`
		// Weight is its share in contention, relative to the others.
		Weight float64 `document:"min=0.001,max=1000000"`
		Limits Limits
	}

	// Limits bound what an organisation may use; zero leaves a limit off.
	Limits struct {
		RequestsPerSecond float64 `document:"min=0"`
		TokensPerSecond   float64 `document:"min=0"`
		Concurrent        int     `document:"min=0"`
		BodyBytes         int     `document:"min=0,max=67108864"`
	}

	// Rules are the operators' few rules.
	Rules struct {
		// SkewWeight and RebalanceCostWeight say how much a second of skew and a second of pause for
		// rebalancing cost.
		SkewWeight          float64 `document:"min=0,max=1000"`
		RebalanceCostWeight float64 `document:"min=0,max=1000"`
		// RetentionHours is how long stored answers are kept.
		RetentionHours int `document:"min=24,max=720"`
		// DefaultDeadline and MaxDeadline bound the time that a request may take.
		DefaultDeadline time.Duration `document:"min=100ms,max=1h"`
		MaxDeadline     time.Duration `document:"min=100ms,max=24h"`
		// BodyBytes is the largest body of a request.
		BodyBytes int `document:"min=1024,max=67108864"`
		// AdmitUnlisted lets upstreams serve that announce themselves and are not in the inventory.
		AdmitUnlisted bool
		// UnlistedOrganisations lets callers in whose organisation is not in the inventory.
		UnlistedOrganisations bool
	}
)

const (
	// DefaultRetentionHours is the retention when the rules name none.
	DefaultRetentionHours = 24
	// DefaultDeadline is the deadline of a request that names none.
	DefaultDeadline = 30 * time.Second
	// DefaultMaxDeadline is the longest deadline that a request may name.
	DefaultMaxDeadline = 10 * time.Minute
	// DefaultBodyBytes is the largest body of a request when the rules name none.
	DefaultBodyBytes = 4 << 20
	// defaultWeight is the weight of what names none.
	defaultWeight = 1
)

// withDefaults fills in what the operators left out.
func (i Inventory) withDefaults() Inventory {
	for n := range i.Models {
		setDefault(&i.Models[n].Weight, defaultWeight)
	}
	for n := range i.Services {
		setDefault(&i.Services[n].Weight, defaultWeight)
	}
	for n := range i.Organisations {
		setDefault(&i.Organisations[n].Weight, defaultWeight)
	}
	r := &i.Rules
	setDefault(&r.RetentionHours, DefaultRetentionHours)
	setDefault(&r.DefaultDeadline, DefaultDeadline)
	setDefault(&r.MaxDeadline, DefaultMaxDeadline)
	setDefault(&r.BodyBytes, DefaultBodyBytes)
	if r.SkewWeight == 0 && r.RebalanceCostWeight == 0 {
		r.SkewWeight, r.RebalanceCostWeight = defaultWeight, defaultWeight
	}
	return i
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
