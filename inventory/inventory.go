// Package inventory defines the operators' inventory: the upstreams, groups, models, services and organisations, and
// the rules for them. An inventory is JSON with comments, and its field names are those of the type Inventory. Parse
// reads it and reports all problems together, each with its position. Control accepts only an inventory without
// problems.
package inventory

import "time"

type (
	// Inventory is one revision of the inventory, with defaults filled in. It is immutable after Parse.
	Inventory struct {
		Upstreams     []Upstream
		Groups        []Group
		Models        []Model
		Services      []Service
		Organisations []Organisation
		Rules         Rules

		index index
	}

	// Upstream is one instance that receives requests and orders.
	Upstream struct {
		Name string `document:"required"`
		// Owner is the team or customer that owns the instance.
		Owner         string
		FailureDomain string `document:"required"`
		// Services lists the names of the models and services that the upstream serves.
		Services []string
		// Group is the name of the group of ranks that the upstream belongs to; empty for none.
		Group string
		// ChecksFencing is true when the engine itself rejects orders with an outdated fencing token.
		ChecksFencing bool
		// AnswersReference is true when the upstream can report, by the idempotency key of a call, whether the call ran.
		AnswersReference bool
	}

	// Group is a group of ranks that run every step together on one expert map.
	Group struct {
		Name  string `document:"required"`
		Model string `document:"required"`
		Ranks int    `document:"required,min=1,max=1024"`
		// Experts is the number of experts in each layer.
		Experts int `document:"required,min=1,max=4096"`
		Layers  int `document:"required,min=1,max=1024"`
		// SpareSlots is the number of expert slots that each rank has in each layer beyond its even share of the experts.
		SpareSlots int `document:"min=0,max=256"`
	}

	// Model is a model that engines serve.
	Model struct {
		Name string `document:"required"`
		// Services lists the engine services of the model, such as "chat".
		Services []string
		// Weight is the value of one answered request, relative to other models and services.
		Weight float64 `document:"min=0,max=1000000"`
	}

	// Service is a plain service with its declared paths.
	Service struct {
		Name string `document:"required"`
		// Weight is the value of one answered request, relative to other models and services.
		Weight float64 `document:"min=0,max=1000000"`
		Routes []Route `document:"required"`
	}

	// Route is one declared path of a service.
	Route struct {
		// Method is an HTTP method; empty matches any method.
		Method string `document:"oneof=|GET|HEAD|POST|PUT|PATCH|DELETE"`
		// Path is the declared path; a path that ends with "/" also matches all paths below it.
		Path string `document:"required"`
		// Repeatable is true when a call may run more than once. All other calls need an idempotency key.
		Repeatable bool
	}

	// Organisation is a customer.
	Organisation struct {
		Name string `document:"required"`
		// Weight is the organisation's share under contention, relative to other organisations.
		Weight float64 `document:"min=0.001,max=1000000"`
		Limits Limits
	}

	// Limits bound the use by one organisation. Zero disables a limit.
	Limits struct {
		RequestsPerSecond float64 `document:"min=0"`
		TokensPerSecond   float64 `document:"min=0"`
		Concurrent        int     `document:"min=0"`
		BodyBytes         int     `document:"min=0,max=67108864"`
	}

	// Rules are the settings that hold for the whole system.
	Rules struct {
		// SkewWeight and RebalanceCostWeight are the relative costs of a second lost to skew and of a second of pause
		// for rebalancing.
		SkewWeight          float64 `document:"min=0,max=1000"`
		RebalanceCostWeight float64 `document:"min=0,max=1000"`
		// RetentionHours is the time for which stored answers are kept, in hours.
		RetentionHours int `document:"min=24,max=720"`
		// DefaultDeadline is the deadline of a request that specifies none. MaxDeadline replaces a longer deadline that a
		// request specifies.
		DefaultDeadline time.Duration `document:"min=100ms,max=1h"`
		MaxDeadline     time.Duration `document:"min=100ms,max=24h"`
		// BodyBytes is the maximum size of a request body.
		BodyBytes int `document:"min=1024,max=67108864"`
		// AdmitUnlisted admits upstreams that announce themselves and are not in the inventory.
		AdmitUnlisted bool
		// UnlistedOrganisations admits callers whose organisation is not in the inventory.
		UnlistedOrganisations bool
	}
)

const (
	// DefaultRetentionHours is the default of Rules.RetentionHours.
	DefaultRetentionHours = 24
	// DefaultDeadline is the default of Rules.DefaultDeadline.
	DefaultDeadline = 30 * time.Second
	// DefaultMaxDeadline is the default of Rules.MaxDeadline.
	DefaultMaxDeadline = 10 * time.Minute
	// DefaultBodyBytes is the default of Rules.BodyBytes.
	DefaultBodyBytes = 4 << 20
	// defaultWeight is the default of every field Weight, and of SkewWeight and RebalanceCostWeight when both are 0.
	defaultWeight = 1
)

// withDefaults sets the fields that the operators left out to their defaults.
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
