/** Bundles the daemon for the users' platform into one file: a start loads one module instead of hundreds. */
import process from 'node:process';
import {build} from 'esbuild';

const result = await build({
	entryPoints: ['apps/daemon/dist/platform-main.js'],
	outfile: 'target/shallotpassd.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minify: true,
	keepNames: true,
	// Packages that are written for CommonJS ask for Node's own modules by `require`.
	banner: {js: 'import {createRequire} from "node:module"; const require = createRequire(import.meta.url);'},
	logLevel: 'warning',
});
process.exitCode = result.errors.length > 0 ? 1 : 0;
