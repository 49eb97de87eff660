/** Computes the backend server orders from the directory and the load. */
import {getOwn} from '@shallotpass/common/records.js';
import {type BackendOrder} from '@shallotpass/core/lease/lease.js';
import {
	updateDemandEstimate, type DemandEstimate, roundWithHysteresis,
} from '@shallotpass/core/engines/estimate-demand.js';
import {planBackends, type PlanInput, type ZoneFleet} from '@shallotpass/core/engines/plan-backends.js';
import {defaultLatencyModel} from '@shallotpass/core/placement/engine-latency.js';
import {computeWorkRate} from '@shallotpass/core/engines/work-rate.js';
import {countMissingBackends} from '../calls/backend-limits.js';
import {getLatencyModel} from '../calls/backend-view.js';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {isCutOff} from '../paths/track-paths.js';
import {listInService} from '../rollouts/restrict-versions.js';

/** Delay before reclaimable backend servers of a zone are ordered again after a refusal. The cloud refuses for 12 to 15 s after a mass reclaim, so that several orders may be refused in a row. */
const refusalBackoffMs = 3500;

/** Added to the boot time of backend servers. After both, those of an accepted order that are still missing no longer count as starting. */
const startMarginMs = 2500;

/** Time after the first read of the directory until it counts as complete. It exceeds three times the 1.2 s at which backend servers write their entries. */
const directorySettleMs = 4000;

export type OrderPlanner = {
	/** Returns no orders until the directory is complete. */
	readonly planOrders: () => BackendOrder[];
	readonly recordAccepted: (order: BackendOrder) => void;
	readonly recordRefusal: (order: BackendOrder) => void;
	/** Whether the directory lists at least as many backend servers as the order demands. */
	readonly isFulfilled: (order: BackendOrder) => boolean;
};

type AcceptedOrder = {
	/** Number of reclaimable backend servers that the zone should have, including those that ran before the order. */
	readonly count: number;
	/** Time by which all of them should have registered, on the steady clock. Until then, those that are missing count as starting. */
	readonly expectedBy: number;
};

export const makeOrderPlanner = (gateway: GatewayState): OrderPlanner => {
	/** `service/zone` → time until which the cloud is assumed to offer no reclaimable backend servers. */
	const refusedUntil = new Map<string, number>();
	/** `service/zone` → the last accepted order of reclaimable backend servers. */
	const acceptedOrders = new Map<string, AcceptedOrder>();
	const demandByService = new Map<string, DemandEstimate>();
	const plannedCountByService = new Map<string, number>();
	const now = (): number => gateway.clocks.steady();

	/**
	 * Whether all running backend servers have had enough time to register. Those that started together register one after the other,
	 * and an order based on the first few entries would shut down the others.
	 */
	const isDirectoryComplete = (): boolean => gateway.directoryReadAt !== undefined && now() >= gateway.directoryReadAt + directorySettleMs;

	const countReady = (service: string, zone: string, isReclaimable: boolean): number => listInService(gateway, service)
		.filter(({entry}) => entry.availabilityZone === zone && entry.isReclaimable === isReclaimable).length;

	const countStarting = (service: string, zone: string, ready: number): number => {
		const order = acceptedOrders.get(`${service}/${zone}`);
		return order === undefined || now() > order.expectedBy ? 0 : Math.max(0, order.count - ready);
	};

	const listZones = (service: string): ZoneFleet[] => gateway.settings.instance.zones.map(availabilityZone => {
		const reclaimable = countReady(service, availabilityZone, true);
		return {
			availabilityZone,
			onDemand: countReady(service, availabilityZone, false),
			reclaimable,
			starting: countStarting(service, availabilityZone, reclaimable),
			refusedUntil: refusedUntil.get(`${service}/${availabilityZone}`) ?? 0,
		};
	});

	/** Mean prefill speed of the ready backend servers in tokens per millisecond, or the speed assumed for new ones if none is ready. Slow moments of their machines count. */
	const computeMeanPrefillSpeed = (service: string): number => {
		const ready = listInService(gateway, service);
		const total = ready.reduce((sum, state) => sum + getLatencyModel(gateway.registry, state, now()).tokensPerMs, 0);
		const usual = ready.length === 0 ? (gateway.registry.latencyModels.get(service) ?? defaultLatencyModel).tokensPerMs : total / ready.length;
		return usual / (gateway.registry.meanSlowness.get(service) ?? 1);
	};

	const countPendingTokens = (service: string): number => (gateway.registry.byService.get(service) ?? [])
		.flatMap(state => [...state.pendingTokens, ...state.othersPendingTokens])
		.reduce((sum, tokens) => sum + tokens, 0);

	const countRunningCalls = (service: string): number => (gateway.registry.byService.get(service) ?? [])
		.reduce((sum, state) => sum + state.running + state.othersRunning, 0);

	/** Updates the demand estimate from the load on all daemons, and returns the numbers of backend servers to plan for. */
	const estimateDemand = (service: string): Pick<PlanInput, 'needed' | 'assumed'> => {
		const since = now() - peerExpiryMs;
		const ownWorkRate = gateway.workRates.get(service);
		const peerRates = [...gateway.peers.values()].filter(peer => peer.receivedAt >= since).map(peer => getOwn(peer.work, service) ?? 0);
		const promptTokensPerSecond = peerRates.reduce((total, rate) => total + rate, computeWorkRate(ownWorkRate, now()));
		const serviceConfiguration = gateway.configuration?.servicesByName.get(service);
		const demand = updateDemandEstimate(demandByService.get(service), {
			promptTokensPerSecond,
			pendingTokens: countPendingTokens(service),
			running: countRunningCalls(service),
			present: listInService(gateway, service).length,
			tokensPerMs: computeMeanPrefillSpeed(service),
			places: serviceConfiguration?.engine?.places ?? Infinity,
			missing: countMissingBackends(gateway, service),
			bootMs: serviceConfiguration?.fleet?.bootMs ?? 0,
		}, now());
		demandByService.set(service, demand);
		const needed = roundWithHysteresis(demand.backends, plannedCountByService.get(service) ?? 0);
		plannedCountByService.set(service, needed);
		return {needed, assumed: Math.ceil(demand.assumed)};
	};

	let lastPlan: BackendOrder[] = [];
	return {
		planOrders() {
			if (!isDirectoryComplete()) {
				return [];
			}

			// What a daemon that is cut off sees of the load says nothing about the need.
			if (isCutOff(gateway)) {
				return lastPlan;
			}

			const services = gateway.configuration?.configuration.services ?? [];
			lastPlan = services.flatMap(({name, fleet}) => fleet === undefined
				? []
				: planBackends({
					service: name, bounds: fleet, zones: listZones(name), ...estimateDemand(name), now: now(),
				}));
			return lastPlan;
		},
		recordAccepted(order) {
			if (order.isReclaimable) {
				const bootMs = gateway.configuration?.servicesByName.get(order.service)?.fleet?.bootMs ?? 0;
				acceptedOrders.set(`${order.service}/${order.availabilityZone}`, {count: order.count, expectedBy: now() + bootMs + startMarginMs});
			}
		},
		recordRefusal(order) {
			if (order.isReclaimable) {
				refusedUntil.set(`${order.service}/${order.availabilityZone}`, now() + refusalBackoffMs);
			}
		},
		isFulfilled: order => countReady(order.service, order.availabilityZone, order.isReclaimable) >= order.count,
	};
};
