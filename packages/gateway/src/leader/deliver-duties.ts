/** Says to the cloud what stands in the lease's record: reports of usage and orders of backend servers. */
import {type BackendOrder, getFence, withReport} from '@shallotpass/core/duties/fold-lease.js';
import {type GatewayState} from '../gateway-state.js';
import {type EventFields} from '../telemetry/log-events.js';
import {type CloudReply, type DutyAuthority, type Platform} from '../ports.js';
import {type LeaseRecord} from './lease-record.js';

const cloudTimeoutMs = 600;

/** Orders are said again after this time while the backend servers have not come. */
const repeatOrderMs = 6500;

/** Pause after a call that the cloud did not take. */
const cloudPauseMs = 800;

export type DeliveryOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly record: LeaseRecord;
	/** Called at each answer of the cloud, also one that says no. */
	readonly onCloudAnswer: () => void;
	readonly onAcceptedOrder: (order: BackendOrder) => void;
	readonly onRefusedOrder: (order: BackendOrder) => void;
	/** Whether what was ordered has come. */
	readonly isFulfilled: (order: BackendOrder) => boolean;
	readonly signal: AbortSignal;
};

export type Delivery = {
	/** Says what has not been said under the present lease. */
	readonly deliver: () => Promise<void>;
	/** Forgets what was said: the next holder says it all again. */
	readonly forget: () => void;
};

/** Names what an order is for: a later one for the same takes its place. */
export const toOrderKey = (order: BackendOrder): string => `${order.service}/${order.availabilityZone}/${order.isReclaimable}`;

export const openDelivery = (options: DeliveryOptions): Delivery => {
	const {gateway, platform, record, signal} = options;
	let pausedUntil = 0;
	/** Orders that were said under the present lease, and when. */
	const said = new Map<string, {count: number; at: number}>();
	const now = (): number => gateway.clocks.steady();

	const noteCloud = <Duty extends 'usage_report' | 'backend_order'>(duty: Duty, reply: CloudReply, fields: EventFields<Duty>): void => {
		const outcome = reply.kind === 'failed' ? reply.reason : reply.kind;
		if (reply.kind !== 'failed') {
			options.onCloudAnswer();
		}

		gateway.metrics.duties.inc({duty, outcome: reply.kind});
		gateway.log.write(reply.kind === 'done' ? 'state' : 'failure', duty, {...fields, outcome});
	};

	/** Undefined when the lease may not be acted on any more. */
	const getAuthority = (): DutyAuthority | undefined => {
		const held = record.getHeld();
		return held !== undefined && record.canAct() ? {holder: gateway.settings.instance.id, fence: getFence(held.stored)} : undefined;
	};

	const deliverReports = async (): Promise<void> => {
		for (const report of record.getHeld()?.stored.lease.reports ?? []) {
			const authority = getAuthority();
			if (report.isDelivered || authority === undefined) {
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- one call after the other, each under a lease that still stands
			const reply = await platform.cloud.reportUsage(authority, report.window, report.counts, {timeoutMs: cloudTimeoutMs, signal});
			noteCloud('usage_report', reply, {window: report.window, counts: report.counts, fence: authority.fence});
			const held = record.getHeld();
			if (reply.kind === 'done' && held) {
				record.note(withReport(held.stored.lease, {...report, isDelivered: true}));
			}
		}
	};

	const isSaid = (order: BackendOrder): boolean => {
		const before = said.get(toOrderKey(order));
		return before?.count === order.count && (options.isFulfilled(order) || now() < before.at + repeatOrderMs);
	};

	const deliverOrders = async (): Promise<void> => {
		for (const order of record.getHeld()?.stored.lease.orders ?? []) {
			const authority = getAuthority();
			if (isSaid(order) || authority === undefined) {
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- one call after the other, each under a lease that still stands
			const reply = await platform.cloud.orderBackends(authority, order, {timeoutMs: cloudTimeoutMs, signal});
			noteCloud('backend_order', reply, {...order, fence: authority.fence});
			if (reply.kind === 'failed') {
				// The cloud is away or busy: what follows would fail as well, and each call is paid for.
				pausedUntil = now() + cloudPauseMs;
				return;
			}

			if (reply.kind === 'none_offered') {
				// What was accepted before still stands, and is not said again.
				options.onRefusedOrder(order);
				continue;
			}

			said.set(toOrderKey(order), {count: order.count, at: now()});
			options.onAcceptedOrder(order);
		}
	};

	return {
		async deliver() {
			await deliverReports();
			if (now() >= pausedUntil) {
				await deliverOrders();
			}
		},
		forget() {
			said.clear();
		},
	};
};
