/** The routing policies that the experiment compares, by name; all but the last are baselines. */
import {
	chooseLeastRequests, chooseLowestCost, choosePrefixAffinity, choosePowerOfTwo, makeRoundRobin,
} from '@shallotpass/core/routing/policies.js';
import {type RoutingPolicy} from '@shallotpass/core/routing/types.js';

export type NamedPolicy = {readonly name: string; readonly isBaseline: boolean; readonly make: () => RoutingPolicy};

export const comparedPolicies: readonly NamedPolicy[] = [
	{name: 'round robin', isBaseline: true, make: makeRoundRobin},
	{name: 'least requests', isBaseline: true, make: () => chooseLeastRequests},
	{name: 'two choices', isBaseline: true, make: () => choosePowerOfTwo},
	{name: 'prefix affinity', isBaseline: true, make: () => choosePrefixAffinity},
	{name: 'lowest cost', isBaseline: false, make: () => chooseLowestCost},
];

export const findPolicy = (name: string): NamedPolicy => {
	const found = comparedPolicies.find(policy => policy.name === name);
	if (found === undefined) {
		throw new Error(`unknown routing policy "${name}"`);
	}

	return found;
};
