package queue

import (
	"errors"
	"slices"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	return validator.New(validator.WithRequiredStructEnabled())
}

// checkSpec rejects a submission that is invalid, contradicts the settings, or
// asks for more than any worker has. It returns a wrapped *job.InvalidError,
// *job.TooLargeError or, while the host list is unknown,
// *job.UnavailableError.
func checkSpec(spec job.Spec, region fleet.Region, snapshot settings.Snapshot, hosts *inventory.HostList) error {
	if err := checkFields(spec); err != nil {
		return err
	}
	team, ok := snapshot.Teams()[spec.Team]
	if !ok {
		return invalid("team", "unknown")
	}
	if team.Organisation != spec.Organisation {
		return invalid("organisation", "not that of the team")
	}
	allowed, err := allowedDataCentres(spec.DataCentres, region, snapshot)
	if err != nil {
		return err
	}
	return checkSize(spec.Resources, allowed, hosts)
}

func invalid(field, reason string) error {
	return eris.Wrap(&job.InvalidError{Field: field, Reason: reason}, "submit")
}

func checkFields(spec job.Spec) error {
	err := validate.Struct(spec)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		return invalid(fields[0].Namespace(), "breaks the rule "+fields[0].Tag()+" "+fields[0].Param())
	}
	if err != nil {
		return invalid("spec", err.Error())
	}
	if spec.Resources.IsZero() {
		return invalid("resources", "are all zero")
	}
	return nil
}

// allowedDataCentres returns the data centres of the region that a job may
// use, whether they are in service or not. An empty wanted list allows all of
// them. It returns a wrapped *job.InvalidError if a wanted data centre is
// unknown or none of them lies in the region.
func allowedDataCentres(wanted []fleet.DataCentre, region fleet.Region, snapshot settings.Snapshot) ([]fleet.DataCentre, error) {
	all := snapshot.DataCentres()
	var allowed []fleet.DataCentre
	for name, dc := range all {
		if dc.Region == region && (len(wanted) == 0 || slices.Contains(wanted, name)) {
			allowed = append(allowed, name)
		}
	}
	for _, name := range wanted {
		if _, ok := all[name]; !ok {
			return nil, invalid("data_centres", string(name)+" is unknown")
		}
	}
	if len(allowed) == 0 {
		return nil, invalid("data_centres", "none in region "+string(region))
	}
	return allowed, nil
}

// dimension is one kind of resource: its name in errors and its amount.
type dimension struct {
	name   string
	amount func(fleet.Resources) int64
}

var dimensions = []dimension{
	{"milli_cores", func(r fleet.Resources) int64 { return r.MilliCores }},
	{"memory_mb", func(r fleet.Resources) int64 { return r.MemoryMB }},
	{"accelerators", func(r fleet.Resources) int64 { return r.Accelerators }},
}

// checkSize rejects a job whose tasks exceed the total capacity of every worker
// in the allowed data centres. Workers that are gone don't count.
func checkSize(need fleet.Resources, allowed []fleet.DataCentre, hosts *inventory.HostList) error {
	if hosts == nil || hosts.Version == 0 {
		return eris.Wrap(&job.UnavailableError{Reason: "the host list is not known yet", RetryAfter: retryAfter}, "submit")
	}
	var capacities []fleet.Resources
	for _, w := range hosts.Workers {
		if w.State != inventory.StateGone && slices.Contains(allowed, w.DataCentre) {
			capacities = append(capacities, w.Capacity)
		}
	}
	if slices.ContainsFunc(capacities, need.Fits) {
		return nil
	}
	return eris.Wrap(tooLarge(need, capacities), "submit")
}

// tooLarge returns the error for a task that fits no worker. It names a
// resource of which no worker has enough or, if each resource alone would fit
// some worker, one of which the workers that fit the other resources have too
// little.
func tooLarge(need fleet.Resources, capacities []fleet.Resources) *job.TooLargeError {
	var fallback *job.TooLargeError
	for _, d := range dimensions {
		largest, fitting := d.largest(need, capacities)
		if d.amount(need) > largest {
			return &job.TooLargeError{Resource: d.name, Need: d.amount(need), Largest: largest}
		}
		if d.amount(need) > fitting && (fallback == nil || fallback.Largest == 0) {
			fallback = &job.TooLargeError{Resource: d.name, Need: d.amount(need), Largest: fitting}
		}
	}
	return fallback
}

// largest returns the largest amount of d among all capacities, and among those
// that fit the other resources of need.
func (d dimension) largest(need fleet.Resources, capacities []fleet.Resources) (all, fitting int64) {
	for _, c := range capacities {
		all = max(all, d.amount(c))
		if d.fitsOthers(need, c) {
			fitting = max(fitting, d.amount(c))
		}
	}
	return all, fitting
}

func (d dimension) fitsOthers(need, capacity fleet.Resources) bool {
	for _, other := range dimensions {
		if other.name != d.name && other.amount(need) > other.amount(capacity) {
			return false
		}
	}
	return true
}

// quotaShare returns the part of a team's quota that shard n of shards may use.
// The parts of all shards add up to the quota.
func quotaShare(quota fleet.Resources, shards, n int) fleet.Resources {
	return fleet.Resources{
		MilliCores:   share(quota.MilliCores, shards, n),
		MemoryMB:     share(quota.MemoryMB, shards, n),
		Accelerators: share(quota.Accelerators, shards, n),
	}
}

func share(amount int64, shards, n int) int64 {
	if n >= shards {
		return 0
	}
	part := amount / int64(shards)
	if int64(n) < amount%int64(shards) {
		part++
	}
	return part
}
