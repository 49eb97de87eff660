/** The two deployments of docs/design/rollouts-and-hard-load.md as simulations of prefix caches, also with about half of their engines. */
import {type PrefixCallKind, type PrefixSimulation} from './simulate-prefix-cache.js';

export type PrefixDeployment = Pick<PrefixSimulation, 'daemons' | 'engineSpeeds' | 'slots' | 'cacheTokens' | 'kinds'>;

const long: PrefixCallKind = {
	name: 'long', perSecond: 69, rank: 1, sharedParts: 400, sharedTokens: 5382, meanOwnTokens: 6610, maxOwnTokens: 54_600, answerMs: 1300, targetMs: 819, hotShare: 0.28,
};

const short: PrefixCallKind = {
	name: 'short', perSecond: 383, rank: 0, sharedParts: 60, sharedTokens: 568, meanOwnTokens: 1800, maxOwnTokens: 14_000, answerMs: 90, targetMs: 2010, hotShare: 0,
};

const first: PrefixDeployment = {
	daemons: 68, engineSpeeds: Array.from({length: 50}, (_speed, index) => 112 * [0.7, 0.7, 1.7][index % 3]! / 1.03), slots: 16, cacheTokens: 680_518, kinds: [long, short],
};

/** One engine in seven works at 0.4 of the speed. */
const second: PrefixDeployment = {
	daemons: 27, engineSpeeds: Array.from({length: 42}, (_speed, index) => 61.8 * (index % 7 === 0 ? 0.4 : 1)), slots: 64, cacheTokens: 658_920,
	kinds: [
		{
			...long, perSecond: 62.9, answerMs: 1200, targetMs: 1008,
		},
		{
			...short, perSecond: 267, answerMs: 100, targetMs: 504,
		},
	],
};

const withEngines = (deployment: PrefixDeployment, count: number): PrefixDeployment => ({...deployment, engineSpeeds: deployment.engineSpeeds.slice(0, count)});

export const prefixDeployments = {
	first, 'first, 20 engines': withEngines(first, 20), second, 'second, 24 engines': withEngines(second, 24),
};
