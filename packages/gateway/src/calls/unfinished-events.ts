/** Bounds the bytes of unfinished events, and of comments before them, that all streams of a daemon hold in memory together. */

/** Bytes that a stream may hold in any case, so that streams of small events go on while others hold much. */
const smallBytes = 65_536;

/** What one stream holds. */
export type EventHold = {
	/** Tells how many bytes the stream holds now. */
	readonly set: (bytes: number) => void;
	/** Holds nothing more. */
	readonly end: () => void;
};

export type UnfinishedEvents = {
	/** Bytes that are held now. */
	readonly count: () => number;
	/** Begins to count what a stream holds. `breakOff` must discard that, and is called if the stream holds most while all hold too much. */
	readonly begin: (breakOff: () => void) => EventHold;
};

type Holder = {
	bytes: number;
	readonly breakOff: () => void;
};

export const makeUnfinishedEvents = (maxBytes: number): UnfinishedEvents => {
	const holders = new Set<Holder>();
	let total = 0;
	const end = (holder: Holder): void => {
		if (holders.delete(holder)) {
			total -= holder.bytes;
		}
	};

	const findLargest = (): Holder | undefined => {
		let largest: Holder | undefined;
		for (const holder of holders) {
			if (holder.bytes > (largest?.bytes ?? smallBytes)) {
				largest = holder;
			}
		}

		return largest;
	};

	const limitTotal = (): void => {
		const largest = total > maxBytes ? findLargest() : undefined;
		if (largest !== undefined) {
			end(largest);
			largest.breakOff();
			limitTotal();
		}
	};

	return {
		count: () => total,
		begin(breakOff) {
			const holder = {bytes: 0, breakOff};
			holders.add(holder);
			return {
				set(bytes) {
					if (holders.has(holder)) {
						total += bytes - holder.bytes;
						holder.bytes = bytes;
						limitTotal();
					}
				},
				end() {
					end(holder);
				},
			};
		},
	};
};
