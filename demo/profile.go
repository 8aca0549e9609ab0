package demo

import (
	"fmt"
	"time"

	"currantstile/model"
	"currantstile/sims"
)

// UserName selects the user whose fleet a demo imitates.
type UserName string

// The users with a profile.
const (
	UserRheintal  UserName = "rheintal"
	UserPinebluff UserName = "pinebluff"
)

// Org is an organisation of a profile. Rate is in tokens a second, Burst in tokens,
// and Adapters is the number of its adapters.
type Org struct {
	ID       model.OrgID
	Rate     int64
	Burst    int64
	Adapters int
	// AdapterPrefix is the first part of the organisation's adapter names.
	AdapterPrefix string
}

// Profile describes a user's fleet: its numbers of servers, its organisations and the
// names in it.
type Profile struct {
	User      UserName
	Zones     []model.ZoneID
	Instances int
	Engines   int
	Services  int
	// ServiceName is the name of the plain service, BookingRoute its route that is
	// not repeatable, and BookingBody the body of a request to that route.
	ServiceName  string
	BookingRoute string
	BookingBody  string
	Orgs         []Org
	Engine       sims.EngineSettings
}

const (
	fleetInstances = 7
	fleetEngines   = 18
	fleetServices  = 4
	engineSlots    = 16
	// burstSeconds is the burst of a contract, in seconds at its rate.
	burstSeconds = 5
)

// FindProfile returns the profile of a user, or model.FieldErrors if there is none of
// that name.
func FindProfile(name string) (Profile, error) {
	switch UserName(name) {
	case UserRheintal:
		return rheintalProfile(), nil
	case UserPinebluff:
		return pinebluffProfile(), nil
	default:
		var errs model.FieldErrors
		errs.Add("user", "%q is not one of rheintal, pinebluff", name)
		return Profile{}, errs.Err()
	}
}

func rheintalProfile() Profile {
	p := baseProfile()
	p.User = UserRheintal
	p.Zones = []model.ZoneID{"st-gallen", "rorschach", "altstaetten", "buchs"}
	p.ServiceName = "returns-desk"
	p.BookingRoute = "pickups"
	p.BookingBody = `{"dealer":"gossau-4","cartridges":36,"day":"2026-12-07"}`
	p.Orgs = newOrgs([]string{"dealers-ost", "collection-points", "workshop-buchs", "bodensee-office", "alpstein-copy"}, "inspect")
	return p
}

func pinebluffProfile() Profile {
	p := baseProfile()
	p.User = UserPinebluff
	p.Zones = []model.ZoneID{"mobile", "biloxi", "gulfport", "pensacola"}
	p.ServiceName = "dispatch"
	p.BookingRoute = "bookings"
	p.BookingBody = `{"load":"rock-salt","bushels":120,"from":"avery-yard","to":"hattiesburg"}`
	p.Orgs = newOrgs([]string{"bayou-haulers", "gulf-brine", "pine-caravans", "delta-depots", "magnolia-salt"}, "draft")
	return p
}

func baseProfile() Profile {
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

// newOrgs returns five organisations with 3,000 adapters in all, unevenly divided so
// that a few organisations are large.
func newOrgs(names []string, prefix string) []Org {
	rates := []int64{2000, 1200, 800, 500, 300}
	adapters := []int{1200, 900, 500, 300, 100}
	list := make([]Org, 0, len(names))
	for i, name := range names {
		list = append(list, Org{
			ID:            model.OrgID(name),
			Rate:          rates[i],
			Burst:         rates[i] * burstSeconds,
			Adapters:      adapters[i],
			AdapterPrefix: prefix,
		})
	}
	return list
}

// AdapterName returns the name of the organisation's n-th most popular adapter,
// counted from 0.
func (o Org) AdapterName(n int) string {
	return fmt.Sprintf("%s-%s-%04d", o.AdapterPrefix, o.ID, n)
}

const adapterVersion = "v1"

// Adapter returns the organisation's n-th adapter in its current version.
func Adapter(o Org, n int) model.Adapter {
	return model.Adapter{
		Name:    o.AdapterName(n),
		Version: adapterVersion,
	}
}

// Contract returns an organisation's contract, without keys. Only the first
// organisation of the profile has the open route.
func (p Profile) Contract(o Org) model.Contract {
	c := model.Contract{
		Organisation: o.ID,
		Rate:         o.Rate,
		Burst:        o.Burst,
		Routes: model.Routes{
			{
				Name:    p.BookingRoute,
				Service: p.ServiceName,
			},
			{
				Name:       "stock",
				Service:    p.ServiceName,
				Repeatable: true,
			},
		},
	}
	if o.ID == p.Orgs[0].ID {
		c.Routes = append(c.Routes, model.Route{
			Name:       "opening-hours",
			Service:    p.ServiceName,
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
