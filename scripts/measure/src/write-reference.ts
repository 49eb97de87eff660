/** Generates the reference pages from the code's schemas and tables. A test checks that the committed pages are up to date. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {makeReferencePages} from './reference-pages.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));
mkdirSync(`${root}docs/operators`, {recursive: true});
for (const page of makeReferencePages()) {
	writeFileSync(`${root}${page.path}`, page.text);
}
