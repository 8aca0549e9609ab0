# Prints the figures of docs/CAPACITY.md again; it takes about five minutes.
.PHONY: capacity
capacity:
	go test -run '^$$' -bench 'Reserve|Skew|Order|Target|ContractIndex|CallBytes' ./quota ./route ./cache ./model ./wire
	go test -run '^$$' -bench IdleFleet -benchtime 1x ./demo
	go test -run '^$$' -bench OneCore -benchtime 1x ./cmd/currantstile
