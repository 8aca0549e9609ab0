package demo

import (
	"fmt"
	"time"

	"currantstile/model"
	"currantstile/sims"
)

// UserName names one of the users whose sizes a demo fleet takes.
type UserName string

// The users.
const (
	UserRheintal  UserName = "rheintal"
	UserPinebluff UserName = "pinebluff"
)

// Org is one organisation of a profile.
type Org struct {
	ID       model.OrgID
	Rate     int64
	Burst    int64
	Adapters int
	// Prefix begins the names of its adapters.
	Prefix string
}

// Profile is the size and naming of one user's fleet.
type Profile struct {
	User      UserName
	Zones     []model.ZoneID
	Instances int
	Engines   int
	Services  int
	// Service names the plain service, Booking the route on it that may not be
	// repeated, and Body a request to it.
	Service string
	Booking string
	Body    string
	Orgs    []Org
	Engine  sims.EngineSettings
}

const (
	fleetInstances = 7
	fleetEngines   = 18
	fleetServices  = 4
	engineSlots    = 16
	// burstTime is the burst of the demo's contracts, as time at their rate.
	burstTime = 5
)

// ParseUser returns a user's profile.
func ParseUser(name string) (Profile, error) {
	switch UserName(name) {
	case UserRheintal:
		return rheintal(), nil
	case UserPinebluff:
		return pinebluff(), nil
	default:
		var errs model.FieldErrors
		errs.Add("user", "%q is not one of rheintal, pinebluff", name)
		return Profile{}, errs.Err()
	}
}

func rheintal() Profile {
	p := sized()
	p.User = UserRheintal
	p.Zones = []model.ZoneID{"st-gallen", "rorschach", "altstaetten", "buchs"}
	p.Service = "returns-desk"
	p.Booking = "pickups"
	p.Body = `{"dealer":"gossau-4","cartridges":36,"day":"2026-12-07"}`
	p.Orgs = orgs([]string{"dealers-ost", "collection-points", "workshop-buchs", "bodensee-office", "alpstein-copy"}, "inspect")
	return p
}

func pinebluff() Profile {
	p := sized()
	p.User = UserPinebluff
	p.Zones = []model.ZoneID{"mobile", "biloxi", "gulfport", "pensacola"}
	p.Service = "dispatch"
	p.Booking = "bookings"
	p.Body = `{"load":"rock-salt","bushels":120,"from":"avery-yard","to":"hattiesburg"}`
	p.Orgs = orgs([]string{"bayou-haulers", "gulf-brine", "pine-caravans", "delta-depots", "magnolia-salt"}, "draft")
	return p
}

func sized() Profile {
	return Profile{
		Instances: fleetInstances,
		Engines:   fleetEngines,
		Services:  fleetServices,
		Engine: sims.EngineSettings{
			Slots:          engineSlots,
			StepTime:       10 * time.Millisecond,
			StepPerRequest: 200 * time.Microsecond,
		},
	}
}

// orgs shares 3,000 adapters among five organisations, a few of them large.
func orgs(names []string, prefix string) []Org {
	rates := []int64{2000, 1200, 800, 500, 300}
	adapters := []int{1200, 900, 500, 300, 100}
	list := make([]Org, 0, len(names))
	for i, name := range names {
		list = append(list, Org{
			ID:       model.OrgID(name),
			Rate:     rates[i],
			Burst:    rates[i] * burstTime,
			Adapters: adapters[i],
			Prefix:   prefix,
		})
	}
	return list
}

// AdapterName is the n-th adapter of an organisation, the most popular first.
func (o Org) AdapterName(n int) string {
	return fmt.Sprintf("%s-%s-%04d", o.Prefix, o.ID, n)
}

const adapterVersion = "v1"

// Adapter is the version in force of an organisation's n-th adapter.
func Adapter(o Org, n int) model.Adapter {
	return model.Adapter{
		Name:    o.AdapterName(n),
		Version: adapterVersion,
	}
}

// Contract is the organisation's contract in a profile.
func (p Profile) Contract(o Org) model.Contract {
	c := model.Contract{
		Organisation: o.ID,
		Rate:         o.Rate,
		Burst:        o.Burst,
		Routes: model.Routes{
			{
				Name:    p.Booking,
				Service: p.Service,
			},
			{
				Name:       "stock",
				Service:    p.Service,
				Repeatable: true,
			},
		},
	}
	if o.ID == p.Orgs[0].ID {
		c.Routes = append(c.Routes, model.Route{
			Name:       "opening-hours",
			Service:    p.Service,
			Open:       true,
			Repeatable: true,
		})
	}
	for n := range o.Adapters {
		c.Adapters = append(c.Adapters, model.ContractAdapter{
			Name:     o.AdapterName(n),
			Versions: []string{adapterVersion},
		})
	}
	c.SetDefaults()
	return c
}
