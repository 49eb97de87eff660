/** Lookup tables for a configuration, built once per configuration version. */
import {isStream} from './types.js';
import {
	type Account, type Route, type Service, type ServingConfiguration,
} from './serving-configuration.js';

export type IndexedConfiguration = {
	readonly configuration: ServingConfiguration;
	/** Routes by lowercase host. The routes of a host are sorted by path prefix, longest first. */
	readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
	readonly servicesByName: ReadonlyMap<string, Service>;
	readonly accountsByKey: ReadonlyMap<string, Account>;
	readonly accountsByName: ReadonlyMap<string, Account>;
	/** Services whose streams come through routes that differ in rank or objective, each with the rank of its least urgent streams. */
	readonly mixedServices: ReadonlyMap<string, number>;
};

const groupRoutesByHost = (routes: readonly Route[]): Map<string, Route[]> => {
	const byHost = new Map<string, Route[]>();
	for (const route of routes) {
		const host = route.host.toLowerCase();
		const group = byHost.get(host) ?? [];
		group.push(route);
		byHost.set(host, group);
	}

	for (const group of byHost.values()) {
		group.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
	}

	return byHost;
};

const findMixedServices = (routes: readonly Route[]): Map<string, number> => {
	const byService = new Map<string, Route[]>();
	for (const route of routes.filter(({repeatability}) => isStream(repeatability))) {
		for (const {service} of route.services) {
			byService.set(service, [...byService.get(service) ?? [], route]);
		}
	}

	const mixed = [...byService].filter(([, [first, ...others]]) => others.some(({rank, targetMs}) => rank !== first!.rank || targetMs !== first!.targetMs));
	return new Map(mixed.map(([service, own]) => [service, Math.max(...own.map(({rank}) => rank))]));
};

export const indexConfiguration = (configuration: ServingConfiguration): IndexedConfiguration => ({
	configuration,
	routesByHost: groupRoutesByHost(configuration.routes),
	servicesByName: new Map(configuration.services.map(service => [service.name, service])),
	accountsByKey: new Map(configuration.accounts.flatMap(account => account.keys.map(key => [key, account] as const))),
	accountsByName: new Map(configuration.accounts.map(account => [account.name, account])),
	mixedServices: findMixedServices(configuration.routes),
});

/** Returns the host's route with the longest path prefix that matches, or undefined if none does. A port in `host` is ignored. */
export const findRoute = (index: IndexedConfiguration, host: string, path: string): Route | undefined => {
	const hostname = host.toLowerCase().replace(/:\d+$/v, '');
	return index.routesByHost.get(hostname)?.find(route => path.startsWith(route.pathPrefix));
};

/**
 * Picks a service of a route in proportion to the weights, or returns undefined if the route has none. `fraction` is a
 * number in [0, 1) that stays the same for a call, so that a call that is sent again gets the same service.
 */
export const pickService = (route: Route, fraction: number): string | undefined => {
	const total = route.services.reduce((sum, weightedService) => sum + Math.max(0, weightedService.weight), 0);
	let remaining = fraction * total;
	for (const weightedService of route.services) {
		remaining -= Math.max(0, weightedService.weight);
		if (remaining < 0) {
			return weightedService.service;
		}
	}

	// Reached if all weights are 0, or because of a rounding error.
	return route.services.at(-1)?.service;
};
