/** Computes the backend server orders from the directory and the load. */
import {type BackendOrder} from '@shallotpass/core/lease/lease.js';
import {
	updateDemandEstimate, type DemandEstimate, roundWithHysteresis,
} from '@shallotpass/core/engines/estimate-demand.js';
import {planBackends, type PlanInput, type ZoneFleet} from '@shallotpass/core/engines/plan-backends.js';
import {defaultLatencyModel} from '@shallotpass/core/placement/engine-latency.js';
import {computeWorkRate} from '@shallotpass/core/engines/work-rate.js';
import {getLatencyModel} from '../calls/backend-registry.js';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';

/** Delay before reclaimable backend servers of a zone are ordered again after a refusal. The cloud refuses for 12 to 15 s after a mass reclaim. */
const refusalBackoffMs = 3500;

/** Time beyond the boot time of a backend server after which an accepted order counts as not fulfilled. */
const startMarginMs = 2500;

/** Backend servers write their entries every 1.2 s. The directory counts as complete after three times that. */
const directorySettleMs = 4000;

export type OrderPlanner = {
	readonly planOrders: () => BackendOrder[];
	readonly recordAccepted: (order: BackendOrder) => void;
	readonly recordRefusal: (order: BackendOrder) => void;
	readonly isFulfilled: (order: BackendOrder) => boolean;
};

type AcceptedOrder = {
	readonly count: number;
	/** When the ordered backend servers should have started, on the steady clock. */
	readonly expectedBy: number;
};

export const makeOrderPlanner = (gateway: GatewayState): OrderPlanner => {
	/** `service/zone` → time until which the cloud is assumed to offer no reclaimable backend servers. */
	const refusedUntil = new Map<string, number>();
	/** `service/zone` → the last accepted order of reclaimable backend servers. */
	const acceptedOrders = new Map<string, AcceptedOrder>();
	const demandByService = new Map<string, DemandEstimate>();
	const plannedCounts = new Map<string, number>();
	const now = (): number => gateway.clocks.steady();

	/** Backend servers that started together register one after the other. An order based on the first few entries would shut down the others. */
	const isDirectoryComplete = (): boolean => gateway.directoryReadAt !== undefined && now() >= gateway.directoryReadAt + directorySettleMs;

	const countReady = (service: string, zone: string, isReclaimable: boolean): number => (gateway.registry.byService.get(service) ?? [])
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

	/** Mean prefill speed of the ready backend servers, in tokens per millisecond. */
	const computeMeanSpeed = (service: string): number => {
		const ready = gateway.registry.byService.get(service) ?? [];
		const total = ready.reduce((sum, state) => sum + getLatencyModel(gateway.registry, state, now()).tokensPerMs, 0);
		return ready.length === 0 ? (gateway.registry.latencyModels.get(service) ?? defaultLatencyModel).tokensPerMs : total / ready.length;
	};

	const countRunning = (service: string): number => (gateway.registry.byService.get(service) ?? [])
		.reduce((sum, state) => sum + state.running + state.othersRunning, 0);

	const estimateDemand = (service: string): Pick<PlanInput, 'needed' | 'assumed'> => {
		const since = now() - peerExpiryMs;
		const own = gateway.workRates.get(service);
		const peerRates = [...gateway.peers.values()].filter(peer => peer.receivedAt >= since).map(peer => peer.work[service] ?? 0);
		const promptTokensPerSecond = peerRates.reduce((total, rate) => total + rate, own === undefined ? 0 : computeWorkRate(own, now()));
		const serviceConfiguration = gateway.configuration?.servicesByName.get(service);
		const demand = updateDemandEstimate(demandByService.get(service), {
			promptTokensPerSecond,
			running: countRunning(service),
			present: gateway.registry.byService.get(service)?.length ?? 0,
			tokensPerMs: computeMeanSpeed(service),
			places: serviceConfiguration?.engine?.places ?? Infinity,
			bootMs: serviceConfiguration?.fleet?.bootMs ?? 0,
		}, now());
		demandByService.set(service, demand);
		const needed = roundWithHysteresis(demand.backends, plannedCounts.get(service) ?? 0);
		plannedCounts.set(service, needed);
		return {needed, assumed: Math.ceil(demand.assumed)};
	};

	return {
		planOrders() {
			if (!isDirectoryComplete()) {
				return [];
			}

			const services = gateway.configuration?.configuration.services ?? [];
			return services.flatMap(({name, fleet}) => fleet === undefined
				? []
				: planBackends({
					service: name, bounds: fleet, zones: listZones(name), ...estimateDemand(name), now: now(),
				}));
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
