/** Faults of the store and the cloud API beside a change of the lease holder. */
import {leaseTopic} from '@shallotpass/platform/stand-ins/keyed-log-stand-in.js';
import {type PlatformFixture} from '@shallotpass/platform/stand-ins/platform-fixture.js';

const briefKinds = [
	'unreadable_lease', 'older_listing', 'held_listing', 'late_listing', 'lost_append', 'late_append', 'refused_append', 'slow_cloud', 'lost_cloud', 'refused_cloud', 'silent_cloud',
] as const;

/** After these, a daemon that takes the lease leaves windows out for hours, so that little is left to judge. */
const lastingKinds = ['unreadable_windows', 'long_older_listing', 'empty_listing'] as const;

type LeaseFaultKind = typeof briefKinds[number] | typeof lastingKinds[number];

export type LeaseFault = {
	readonly kind: LeaseFaultKind;
	readonly value: string;
	readonly times: number;
	readonly delayMs: number;
	/** Records by which a listing is older. */
	readonly age: number;
};

/** Values of a record that cannot be read as a lease. */
const unreadableValues = ['{"holder":7}', '[1]', '7', 'null', '{}'] as const;

const minClockErrorMs = 3000;
const maxClockErrorMs = 3_600_000;

/** Draws an error of a clock in either direction. Small ones are more frequent, as two daemons then report the same windows. */
export const drawClockErrorMs = (random: () => number): number => (random() < 0.5 ? -1 : 1) * minClockErrorMs * ((maxClockErrorMs / minClockErrorMs) ** (random() ** 2));

/** Draws a fault. `mayLast`: also of the kinds after which windows are left out. */
export const drawFault = (random: () => number, mayLast: boolean): LeaseFault => {
	const kinds: readonly LeaseFaultKind[] = mayLast ? [...briefKinds, ...lastingKinds, ...lastingKinds] : briefKinds;
	return {
		kind: kinds[Math.floor(random() * kinds.length)]!,
		value: unreadableValues[Math.floor(random() * unreadableValues.length)]!,
		times: 1 + Math.floor(random() * 12),
		delayMs: 200 + (random() * 6000),
		age: 1 + Math.floor(random() * 12),
	};
};

/** Injects the fault. The returned function ends it. */
export const injectLeaseFault = ({store, cloud}: PlatformFixture, {kind, value, times, delayMs, age}: LeaseFault): () => void => {
	const end = store.countRecords(leaseTopic);
	switch (kind) {
		case 'unreadable_lease': {
			store.put(leaseTopic, 'lease', value);
			break;
		}

		case 'unreadable_windows': {
			store.put(leaseTopic, 'reported_windows', value);
			break;
		}

		case 'older_listing':
		case 'long_older_listing':
		case 'empty_listing': {
			store.listAsOf(leaseTopic, kind === 'empty_listing' ? 0 : Math.max(0, end - age));
			const endListing = (): void => {
				store.listAsOf(leaseTopic, undefined);
			};

			if (kind === 'older_listing') {
				setTimeout(endListing, Math.min(delayMs, 2500));
			}

			return endListing;
		}

		case 'held_listing': {
			const release = store.holdListings(leaseTopic);
			setTimeout(release, delayMs);
			return release;
		}

		case 'late_listing': {
			store.faults.add({
				on: `newest ${leaseTopic}`, kind: 'delay', times, delayMs: Math.min(delayMs, 900),
			});
			break;
		}

		case 'lost_append': {
			store.faults.add({on: `append ${leaseTopic}`, kind: 'lose_reply', times});
			break;
		}

		case 'late_append': {
			store.faults.add({
				on: `append ${leaseTopic}`, kind: 'delay', times, delayMs: Math.min(delayMs, 900),
			});
			break;
		}

		case 'refused_append': {
			store.faults.add({on: `append ${leaseTopic}`, kind: 'refuse', times});
			break;
		}

		case 'slow_cloud': {
			cloud.faults.add({
				on: 'usage', kind: 'delay', times, delayMs,
			});
			break;
		}

		case 'lost_cloud': {
			cloud.faults.add({on: 'usage', kind: 'lose_reply', times: times * 2});
			break;
		}

		case 'refused_cloud': {
			cloud.faults.add({on: 'usage', kind: 'refuse', times: times * 2});
			break;
		}

		case 'silent_cloud': {
			cloud.faults.add({on: 'usage', kind: 'silent', times: times * 2});
			break;
		}
	}

	return () => {
		store.faults.clear(`append ${leaseTopic}`);
		store.faults.clear(`newest ${leaseTopic}`);
	};
};
