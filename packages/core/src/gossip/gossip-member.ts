/** A daemon as others know it: from its record in the store, or from a peer. */
import {addressSchema, maxAmount, textSchema} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';

export const gossipMemberSchema = z.object({
	id: textSchema,
	/** Address for gossip reports and requests. */
	address: addressSchema,
	availabilityZone: textSchema,
	/** Bandwidth of the network link, in Mbit/s. */
	linkMbps: z.number().nonnegative().max(maxAmount),
	/** Whether it serves calls that other daemons send. Those of earlier versions don't. */
	takesCalls: z.boolean().optional(),
	/** Whether it may keep limits of client accounts. Those of earlier versions don't. */
	keepsQuotas: z.boolean().optional(),
	/** Whether it remembers the origins of streams, and continues a stream only at its software version. Those of earlier versions don't. */
	keepsOrigins: z.boolean().optional(),
});

export type GossipMember = Readonly<z.infer<typeof gossipMemberSchema>>;
