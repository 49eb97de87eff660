/** Sends the leader's requests to the cloud API: the usage reports and backend server orders in the lease record. */
import {type BackendOrder, getFencingToken, markDelivered} from '@shallotpass/core/lease/lease.js';
import {type GatewayState} from '../gateway-state.js';
import {type EventFields} from '../telemetry/log-events.js';
import {
	type CloudCallOptions, type CloudReply, type LeaseAuthority, type Platform,
} from '../ports.js';
import {type LeaseRecord} from './lease-record.js';

const cloudTimeoutMs = 600;

/** An order is sent again after this time if the ordered backend servers have not appeared. */
const resendOrderAfterMs = 6500;

/** Delay before the next order after a failed call to the cloud API. */
const cloudRetryDelayMs = 800;

export type CloudSenderOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly record: LeaseRecord;
	/** Called on each response of the cloud API, including refusals. */
	readonly onCloudAnswer: () => void;
	readonly onOrderAccepted: (order: BackendOrder) => void;
	readonly onOrderRefused: (order: BackendOrder) => void;
	/** Whether the ordered number of backend servers is present. */
	readonly isFulfilled: (order: BackendOrder) => boolean;
	readonly signal: AbortSignal;
};

export type CloudSender = {
	/** Sends the reports that are not delivered yet, and the orders that the cloud API has not accepted under the current lease yet. */
	readonly sendPending: () => Promise<void>;
	/** Clears the accepted orders when the lease is lost, so that they are sent again under the next lease. */
	readonly reset: () => void;
};

/** Key of an order. A later order with the same key replaces it. */
export const toOrderKey = (order: BackendOrder): string => `${order.service}/${order.availabilityZone}/${order.isReclaimable}`;

export const makeCloudSender = (options: CloudSenderOptions): CloudSender => {
	const {gateway, platform, record, signal} = options;
	let ordersPausedUntil = 0;
	/** Orders accepted by the cloud under the current lease, by key, with the time of acceptance. */
	const acceptedOrders = new Map<string, {count: number; at: number}>();
	const now = (): number => gateway.clocks.steady();

	const recordCloudReply = <RequestKind extends 'usage_report' | 'backend_order'>(requestKind: RequestKind, reply: CloudReply, fields: EventFields<RequestKind>): void => {
		const outcome = reply.kind === 'failed' ? reply.reason : reply.kind;
		if (reply.kind !== 'failed') {
			options.onCloudAnswer();
		}

		gateway.metrics.cloudRequests.inc({duty: requestKind, outcome: reply.kind});
		gateway.log.write(reply.kind === 'done' ? 'state' : 'failure', requestKind, {...fields, outcome});
	};

	/** Returns the holder and its fencing token, or undefined when the lease is not held or may have expired. */
	const getAuthority = (): LeaseAuthority | undefined => {
		const held = record.getHeld();
		return held !== undefined && record.canAct() ? {holder: gateway.settings.instance.id, fence: getFencingToken(held.stored)} : undefined;
	};

	const makeCallOptions = (authority: LeaseAuthority): CloudCallOptions => ({
		timeoutMs: cloudTimeoutMs, isStillHeld: () => getAuthority()?.fence === authority.fence, signal,
	});

	const sendReports = async (): Promise<void> => {
		for (const report of record.getHeld()?.stored.lease.reports ?? []) {
			const authority = getAuthority();
			if (report.isDelivered || authority === undefined) {
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- sequential: the lease is checked before each call
			const reply = await platform.cloud.reportUsage(authority, report.window, report.counts, makeCallOptions(authority));
			recordCloudReply('usage_report', reply, {
				window: report.window, counts: report.counts, fence: authority.fence, offset: record.getHeld()?.stored.offset,
			});
			const held = record.getHeld();
			if (reply.kind === 'done' && held) {
				record.setHeldLease(markDelivered(held.stored.lease, report.window));
			}

			if (reply.kind === 'failed') {
				return;
			}
		}
	};

	const isAlreadyPlaced = (order: BackendOrder): boolean => {
		const accepted = acceptedOrders.get(toOrderKey(order));
		return accepted?.count === order.count && (options.isFulfilled(order) || now() < accepted.at + resendOrderAfterMs);
	};

	const sendOrders = async (): Promise<void> => {
		for (const order of record.getHeld()?.stored.lease.orders ?? []) {
			const authority = getAuthority();
			if (isAlreadyPlaced(order) || authority === undefined) {
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- sequential: the lease is checked before each call
			const reply = await platform.cloud.orderBackends(authority, order, makeCallOptions(authority));
			recordCloudReply('backend_order', reply, {...order, fence: authority.fence});
			if (reply.kind === 'failed') {
				// The cloud API is unavailable or overloaded. Further calls would fail as well, and each call is billed.
				ordersPausedUntil = now() + cloudRetryDelayMs;
				return;
			}

			if (reply.kind === 'none_offered') {
				// The order accepted earlier remains in effect and is not sent again.
				options.onOrderRefused(order);
				continue;
			}

			acceptedOrders.set(toOrderKey(order), {count: order.count, at: now()});
			options.onOrderAccepted(order);
		}
	};

	return {
		async sendPending() {
			await sendReports();
			if (now() >= ordersPausedUntil) {
				await sendOrders();
			}
		},
		reset() {
			acceptedOrders.clear();
		},
	};
};
