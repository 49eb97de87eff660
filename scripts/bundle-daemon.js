/** Bundles the daemon for the users' platform, so that startup loads three files instead of hundreds: first the code that accepts connections, then the rest. */
import process from 'node:process';
import {build} from 'esbuild';

const result = await build({
	entryPoints: {shallotpassd: 'apps/daemon/dist/platform-main.js'},
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	chunkNames: 'shallotpassd-[name]',
	bundle: true,
	splitting: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minify: true,
	// CommonJS packages load Node.js built-in modules with `require`, which ES modules do not define.
	banner: {js: 'import {createRequire} from "node:module"; const require = createRequire(import.meta.url);'},
	logLevel: 'warning',
});
process.exitCode = result.errors.length > 0 ? 1 : 0;
