/** Simulates a customer's load on several daemons and engines in virtual time, and reports how many calls met their latency targets. */
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {type DemandEstimate} from '@shallotpass/core/engines/estimate-demand.js';
import {makeManualClock, type ManualClock} from '../routing/manual-clock.js';
import {type Customer} from './customer.js';
import {makeCalls, type SimulatedCall} from './make-calls.js';
import {makeReportTotals} from './report-totals.js';
import {type Policies} from './policies.js';
import {startVirtualDaemon, type VirtualDaemon} from './virtual-daemon.js';
import {type RunResult} from './virtual-engine.js';
import {startVirtualFleet, type VirtualFleet} from './virtual-fleet.js';

/** Interval at which the daemon that holds the duties plans the fleet, in milliseconds. */
const planIntervalMs = 500;

/** Time before the first call, in milliseconds. Engines that are ordered at the start begin to run in this time. */
const warmUpMs = 6000;

/** Time after the last call in which running calls may complete, in milliseconds. */
const completionMs = 10_000;

/** Delay after which a call that finds no engine is retried, in milliseconds. */
const retryDelayMs = 100;

/** A call that finds no engine is lost when it has waited longer than this multiple of its latency target for the first event. */
const retryLimitFactor = 5;

/** Length of the windows whose share of calls on time is compared, in milliseconds. */
const windowMs = 2000;

export type CallOutcome = 'on_time' | 'late' | 'lost';

export type CallResult = {
	readonly call: SimulatedCall;
	readonly outcome: CallOutcome;
};

export type SimulationReport = {
	readonly calls: number;
	/** Shares of the calls by their outcome. */
	readonly onTime: number;
	readonly late: number;
	readonly lost: number;
	/** Mean share of calls on time in the two worst windows of two seconds. */
	readonly worstWindows: number;
	/** Total price of the engines. An on-demand engine costs the price of its zone per second. */
	readonly price: number;
	/** Number of engines that were started. */
	readonly engines: number;
	/** Prompt tokens that engines processed for each prompt token sent. The rest was cached. */
	readonly readPart: number;
};

type Simulation = {
	readonly customer: Customer;
	readonly policies: Policies;
	readonly clock: ManualClock;
	readonly fleet: VirtualFleet;
	readonly daemons: readonly VirtualDaemon[];
	readonly random: () => number;
	readonly results: CallResult[];
};

/** Classifies a completed call by its latency targets. */
const classifyOutcome = ({kind, at}: SimulatedCall, {firstEventAt, longestPauseMs}: RunResult): CallOutcome =>
	firstEventAt !== undefined && firstEventAt - at <= kind.firstMs && longestPauseMs <= kind.pauseMs ? 'on_time' : 'late';

/** Sends a call to an engine, and retries later if none is available. When its engine is lost, the call is sent again if it is resumable or has produced no token. */
const serveCall = (simulation: Simulation, daemon: VirtualDaemon, call: SimulatedCall, previousRun: RunResult | undefined): void => {
	const {clock, results} = simulation;
	const placement = daemon.placeCall(call, clock.now());
	if (placement === undefined) {
		if (clock.now() > call.at + (call.kind.firstMs * retryLimitFactor)) {
			results.push({call, outcome: 'lost'});
			return;
		}

		clock.schedule(clock.now() + retryDelayMs, () => {
			serveCall(simulation, daemon, call, previousRun);
		});
		return;
	}

	placement.engine.run(call, {
		previousTokens: previousRun?.tokens ?? 0,
		onFirstEvent() {
			placement.recordFirstEvent(clock.now());
		},
		onEnd(result) {
			placement.recordEnd();
			// The pause in a response that was interrupted after its first event isn't measured. It counts as infinite, so the call is late.
			const mergedRun: RunResult = previousRun?.firstEventAt === undefined ? result : {...result, firstEventAt: previousRun.firstEventAt, longestPauseMs: Infinity};
			if (result.kind === 'complete') {
				results.push({call, outcome: classifyOutcome(call, mergedRun)});
				return;
			}

			if (call.kind.isResumable || mergedRun.tokens === 0) {
				serveCall(simulation, daemon, call, mergedRun);
				return;
			}

			results.push({call, outcome: 'lost'});
		},
	});
};

/** Plans the fleet at a fixed interval, based on the load that all daemons observe. */
const startPlanning = ({customer, policies, clock, fleet, daemons}: Simulation): void => {
	let estimate: DemandEstimate | undefined;
	let plannedBackends = 0;
	const {engine} = customer;
	const bounds = {
		least: engine.least, most: engine.most, bootMs: engine.bootMs, reclaimablePrice: engine.reclaimablePrice, zonePrices: Object.fromEntries(customer.zones.map(({name, price}) => [name, price])),
	};
	const plan = (): void => {
		const now = clock.now();
		estimate = policies.updateEstimate(estimate, {
			promptTokensPerSecond: daemons.reduce((sum, daemon) => sum + daemon.getWorkRate(now), 0),
			pendingTokens: daemons.reduce((sum, daemon) => sum + daemon.countPendingTokens(), 0),
			running: daemons.reduce((sum, daemon) => sum + daemon.countRunning(), 0),
			present: fleet.listReady().length,
			tokensPerMs: daemons[0]!.getLatencyModel().tokensPerMs,
			places: engine.places,
			missing: 0,
			bootMs: engine.bootMs,
		}, now);
		plannedBackends = policies.roundEstimate(estimate.backends, plannedBackends);
		fleet.applyOrders(policies.plan({
			service: 'llm', bounds, zones: fleet.listZones(), needed: plannedBackends, assumed: Math.ceil(estimate.assumed), now,
		}));
		clock.schedule(now + planIntervalMs, plan);
	};

	plan();
};

/** Lets each daemon report its load at the gossip interval, starting at a random offset. */
const startReporting = ({customer, clock, daemons, random}: Simulation): void => {
	for (const daemon of daemons) {
		const report = (): void => {
			daemon.publishReport(clock.now());
			clock.schedule(clock.now() + customer.gossipMs, report);
		};

		clock.schedule(random() * customer.gossipMs, report);
	}
};

/** Computes the mean share of calls on time in the two worst windows. */
const computeWorstWindowShare = (results: readonly CallResult[]): number => {
	const windows = new Map<number, {calls: number; onTime: number}>();
	for (const {call, outcome} of results) {
		const windowIndex = Math.floor(call.at / windowMs);
		const window = windows.get(windowIndex) ?? {calls: 0, onTime: 0};
		window.calls++;
		window.onTime += outcome === 'on_time' ? 1 : 0;
		windows.set(windowIndex, window);
	}

	const shares = [...windows.values()].map(({calls, onTime}) => onTime / calls).toSorted((left, right) => left - right);
	const worst = shares.slice(0, 2);
	return worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length);
};

const summarize = ({results, fleet}: Simulation): SimulationReport => {
	const count = (outcome: CallOutcome): number => results.filter(result => result.outcome === outcome).length;
	const {computed, sent} = fleet.sumTokens();
	return {
		calls: results.length,
		onTime: count('on_time') / results.length,
		late: count('late') / results.length,
		lost: count('lost') / results.length,
		worstWindows: computeWorstWindowShare(results),
		price: fleet.sumPrice(),
		engines: fleet.countEngines(),
		readPart: computed / Math.max(1, sent),
	};
};

export const simulatePolicies = (customer: Customer, policies: Policies, seed: number): SimulationReport => {
	const clock = makeManualClock();
	const fleet = startVirtualFleet({...customer, waves: {...customer.waves, at: customer.waves.at.map(at => at + warmUpMs)}}, clock);
	// Not the generator of the calls, so that every policy set is simulated with the same calls.
	const random = makeRandom(seed + 1_000_000);
	const daemons: VirtualDaemon[] = [];
	const reportTotals = makeReportTotals();
	for (const {name, daemons: count} of customer.zones) {
		for (let index = 0; index < count; index++) {
			daemons.push(startVirtualDaemon({
				zone: name, policies, gossipMs: customer.gossipMs, places: customer.engine.places, cacheTokens: customer.engine.cacheTokens,
				countDaemons: () => daemons.length, listEngines: fleet.listReady, random, reportTotals,
			}));
		}
	}

	const simulation: Simulation = {
		customer, policies, clock, fleet, daemons, random, results: [],
	};
	for (const call of makeCalls(customer, makeRandom(seed))) {
		const arrivingCall = {...call, at: call.at + warmUpMs};
		clock.schedule(arrivingCall.at, () => {
			serveCall(simulation, daemons[Math.floor(random() * daemons.length)]!, arrivingCall, undefined);
		});
	}

	startReporting(simulation);
	startPlanning(simulation);
	const endsAt = warmUpMs + customer.lengthMs + completionMs;
	while (clock.now() < endsAt && clock.advance()) {
		// Each iteration runs the next scheduled event.
	}

	return summarize(simulation);
};
