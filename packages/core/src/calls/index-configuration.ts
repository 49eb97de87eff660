/** Look-up tables over a configuration, built once a version. */
import {
	type Account, type Route, type Service, type ServingConfiguration,
} from './serving-configuration.js';

export type IndexedConfiguration = {
	readonly configuration: ServingConfiguration;
	/** Routes of a host, the longest prefix first. */
	readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
	readonly servicesByName: ReadonlyMap<string, Service>;
	readonly accountsByKey: ReadonlyMap<string, Account>;
	readonly accountsByName: ReadonlyMap<string, Account>;
};

const groupRoutes = (routes: readonly Route[]): Map<string, Route[]> => {
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

export const toIndexedConfiguration = (configuration: ServingConfiguration): IndexedConfiguration => ({
	configuration,
	routesByHost: groupRoutes(configuration.routes),
	servicesByName: new Map(configuration.services.map(service => [service.name, service])),
	accountsByKey: new Map(configuration.accounts.flatMap(account => account.keys.map(key => [key, account] as const))),
	accountsByName: new Map(configuration.accounts.map(account => [account.name, account])),
});

/** The route with the longest prefix that begins the path. `host` may carry a port. */
export const findRoute = (index: IndexedConfiguration, host: string, path: string): Route | undefined => {
	const name = host.toLowerCase().replace(/:\d+$/v, '');
	return index.routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
};

/** The service of a split route; `share` is a number from 0 to 1 that is fixed for a call. */
export const pickService = (route: Route, share: number): string | undefined => {
	const total = route.services.reduce((sum, entry) => sum + Math.max(0, entry.weight), 0);
	let left = share * total;
	for (const entry of route.services) {
		left -= Math.max(0, entry.weight);
		if (left < 0) {
			return entry.service;
		}
	}

	return route.services.at(-1)?.service;
};
