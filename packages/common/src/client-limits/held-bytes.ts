/** Bounds the bytes that all calls of a daemon hold in memory together. */

/** Bodies up to this size are held in any case, so that small calls go on while large ones are refused. */
const smallBytes = 65_536;

/** Memory of an instance whose settings don't state it. */
const usualMemoryMb = 256;

const heldShare = 0.5;

/** Computes how many bytes of bodies a daemon may hold on an instance with so much memory. */
export const computeMaxHeldBytes = ({memoryMb = usualMemoryMb}: {readonly memoryMb?: number | undefined}): number => memoryMb * 1_000_000 * heldShare;

export type HeldBytes = {
	/** Bytes that are held now. */
	readonly count: () => number;
	/** Whether there is room for a body of that length. */
	readonly hasRoomFor: (bytes: number) => boolean;
	/** Begins to hold the bytes of one body. */
	readonly begin: () => BodyHold;
};

export type BodyHold = {
	/** Holds further bytes. Returns false if there is no room for them. */
	readonly add: (bytes: number) => boolean;
	/** Holds nothing more. May be called again. */
	readonly release: () => void;
};

export const makeHeldBytes = (maxBytes: number): HeldBytes => {
	let total = 0;
	const hasRoom = (bodyBytes: number, addedBytes: number): boolean => bodyBytes <= smallBytes || total + addedBytes <= maxBytes;
	return {
		count: () => total,
		hasRoomFor: bytes => hasRoom(bytes, bytes),
		begin() {
			let held = 0;
			let isReleased = false;
			return {
				add(bytes) {
					if (isReleased || !hasRoom(held + bytes, bytes)) {
						return false;
					}

					held += bytes;
					total += bytes;
					return true;
				},
				release() {
					isReleased = true;
					total -= held;
					held = 0;
				},
			};
		},
	};
};
