/** Form of the configuration between daemons. Fields that daemons of earlier versions may lack have the value that was in force there. */
import {
	amountSchema, boundedSchema, configurationVersionSchema, headerTextSchema, spanSchema,
} from '@shallotpass/common/value-bounds.js';
import * as z from 'zod';
import {type ServingConfiguration} from './serving-configuration.js';

const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string(),
	repeatability: z.enum(['idempotent', 'once', 'resumable_stream', 'stream_once']),
	limitMs: spanSchema,
	targetMs: spanSchema,
	pauseMs: spanSchema.default(0),
	rank: boundedSchema,
	attempts: amountSchema,
	allowsAnonymous: z.boolean(),
	services: z.array(z.object({service: z.string(), weight: amountSchema})),
});

const serviceSchema = z.object({
	name: z.string(),
	maxConnections: amountSchema,
	engine: z.object({places: amountSchema, cacheTokens: amountSchema}).optional(),
	canMoveRuns: z.boolean().default(false),
	fleet: z.object({
		least: amountSchema,
		most: amountSchema,
		bootMs: amountSchema,
		reclaimablePrice: amountSchema.optional(),
		zonePrices: z.record(z.string(), boundedSchema),
	}).optional(),
});

const accountSchema = z.object({
	name: headerTextSchema,
	keys: z.array(z.string()),
	rank: boundedSchema.optional(),
	limit: z.object({
		perSecond: amountSchema, burst: amountSchema, plainCost: amountSchema, countsTokens: z.boolean(),
	}).optional(),
});

export const servingConfigurationSchema = z.object({
	version: configurationVersionSchema,
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	accounts: z.array(accountSchema),
	limits: z.object({
		headerBytes: amountSchema, bodyBytes: amountSchema, headersWithinMs: spanSchema, idleMs: spanSchema,
	}),
}) satisfies z.ZodType<ServingConfiguration>;
