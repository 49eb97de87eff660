/** Works out the orders of backend servers from the directory and the load. */
import {type BackendOrder} from '@shallotpass/core/duties/fold-lease.js';
import {planEngines, type ZoneFleet} from '@shallotpass/core/engines/plan-engines.js';
import {type GatewayState} from './gateway-state.js';

/** After a refusal reclaimable backend servers of a zone are asked for again after this time, in milliseconds. */
const refusalMs = 7000;

export type OrderPlan = {
	readonly planOrders: () => BackendOrder[];
	readonly noteRefusal: (order: BackendOrder) => void;
	readonly isFulfilled: (order: BackendOrder) => boolean;
};

export const openOrderPlan = (gateway: GatewayState): OrderPlan => {
	/** `service/zone` → until when none are believed to be had, on the steady clock. */
	const refusedUntil = new Map<string, number>();

	const countReady = (service: string, zone: string, isReclaimable: boolean): number => (gateway.book.byService.get(service) ?? [])
		.filter(({entry}) => entry.availabilityZone === zone && entry.isReclaimable === isReclaimable).length;

	const listZones = (service: string): ZoneFleet[] => gateway.settings.instance.zones.map(availabilityZone => ({
		availabilityZone,
		full: countReady(service, availabilityZone, false),
		reclaimable: countReady(service, availabilityZone, true),
		refusedUntil: refusedUntil.get(`${service}/${availabilityZone}`) ?? 0,
	}));

	return {
		planOrders() {
			const services = gateway.configuration?.configuration.services ?? [];
			return services.flatMap(({name, fleet}) => fleet === undefined
				? []
				: planEngines({
					service: name, bounds: fleet, zones: listZones(name), needed: 7, now: gateway.clocks.steady(),
				}));
		},
		noteRefusal(order) {
			if (order.isReclaimable) {
				refusedUntil.set(`${order.service}/${order.availabilityZone}`, gateway.clocks.steady() + refusalMs);
			}
		},
		isFulfilled: order => countReady(order.service, order.availabilityZone, order.isReclaimable) >= order.count,
	};
};
