/** Policies that simulations of prefix caches compare, and the figures in which they differ. */
import {type PromptPart} from '../calls/types.js';
import {
	estimatePrefixCaches, type PrefixContext, type PrefixEngine, type PrefixEstimate,
} from '../placement/estimate-prefix-caches.js';
import {listPreferredBackends} from '../placement/prompt-affinity.js';
import {type PrefixReport} from './simulate-prefix-cache.js';

type Estimate = <Engine extends PrefixEngine>(call: {readonly promptParts: readonly PromptPart[]}, engines: readonly Engine[], context: PrefixContext<Engine>) => PrefixEstimate[];

/** Earlier rule: a part is cached where it was ever sent, and shared parts at the first server of the order. */
const estimateFixed: Estimate = ({promptParts}, engines, {keyHash}) => {
	const [preferred] = listPreferredBackends(keyHash, engines, 1);
	return engines.map(engine => {
		const missing = promptParts.findIndex(({id}, index) => !engine.knownParts.parts.has(id) && !(engine === preferred && index < promptParts.length - 1));
		const cached = missing === -1 ? promptParts : promptParts.slice(0, missing);
		return {cachedTokens: cached.reduce((sum, {tokens}) => sum + tokens, 0), lostEngineMs: undefined};
	});
};

export const prefixPolicies = {
	none: (_call, engines) => engines.map(() => ({cachedTokens: 0, lostEngineMs: undefined})),
	fixed: estimateFixed,
	model: estimatePrefixCaches,
} satisfies Record<string, Estimate>;

const getQuantile = (sorted: readonly number[], quantile: number): number => Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0);

export type PrefixFigures = {readonly kind: string; readonly onTime: number; readonly p50: number; readonly p99: number};

const summarizeCalls = (kind: string, results: PrefixReport['results']): PrefixFigures => {
	const times = results.map(({firstEventMs}) => firstEventMs).toSorted((left, right) => left - right);
	return {
		kind, onTime: results.filter(({firstEventMs, targetMs}) => firstEventMs <= targetMs).length / Math.max(1, results.length), p50: getQuantile(times, 0.5), p99: getQuantile(times, 0.99),
	};
};

/** Computes the figures of each kind of call and of its largest tenth by prompt tokens. */
export const summarizePrefixCalls = ({results}: Pick<PrefixReport, 'results'>): PrefixFigures[] => {
	const kinds = [...new Set(results.map(({kind}) => kind))].toSorted();
	return kinds.flatMap(kind => {
		const ofKind = results.filter(result => result.kind === kind);
		const sizes = ofKind.map(({promptTokens}) => promptTokens).toSorted((left, right) => left - right);
		const large = getQuantile(sizes, 0.9);
		return [summarizeCalls(kind, ofKind), summarizeCalls(`${kind}, largest tenth`, ofKind.filter(({promptTokens}) => promptTokens >= large))];
	});
};
