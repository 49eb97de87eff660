/** Bounds of the entries of backend servers, and their form between daemons. */
import {
	addressSchema, maxEpochMs, maxSpanMs, offsetSchema, spanSchema, textSchema, tokenSchema,
} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';
import {type PeerBackend} from './adopt-peer-directory.js';

/** A backend server runs one call on a connection, and one daemon has at most as many connections to its address as there are ports. */
const maxPlaces = 65_535;

/** One entry a millisecond for thirty years. The largest number would hide all later entries of the backend server. */
const maxSequence = 1e12;

export const placesSchema = z.int().positive().max(maxPlaces);

export const sequenceSchema = z.int().nonnegative().max(maxSequence);

export const startedAtSchema = z.int().nonnegative().max(maxEpochMs);

/** A backend server in the form in which daemons send it to each other. */
export const peerBackendSchema = z.object({
	entry: z.object({
		id: tokenSchema,
		service: textSchema,
		address: addressSchema,
		availabilityZone: textSchema,
		places: placesSchema,
		isLeaving: z.boolean(),
		leavesInMs: spanSchema.optional(),
		isReclaimable: z.boolean(),
		startedAt: startedAtSchema.optional(),
		softwareVersion: textSchema.optional(),
		sequence: sequenceSchema,
	}),
	offset: offsetSchema,
	missingForMs: z.number().min(-maxSpanMs).max(maxSpanMs).optional(),
}) satisfies z.ZodType<PeerBackend>;
