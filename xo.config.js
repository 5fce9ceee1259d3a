/** @type {import('xo').FlatXoConfig} */
const xoConfig = [
	{ignores: ['**/lib/**', 'docs/**', 'node_modules/**']},
	{
		files: ['**/*.{ts,js}'],
		rules: {
			// The house style asks for lower-camel file names and for the customary short names.
			'unicorn/filename-case': ['error', {case: 'camelCase'}],
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// Statements of one connection run one after the other by design.
			'no-await-in-loop': 'off',
			// The PostgreSQL libraries give and take Buffer, and frames need its integer accessors.
			'@typescript-eslint/no-restricted-types': 'off',
			'n/prefer-global/buffer': ['error', 'always'],
			'n/prefer-global/process': ['error', 'always'],
			// Messages of peers and of the platform are checked by schema or by shape where they enter.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// A package exports from its one index.ts.
			'@typescript-eslint/consistent-type-exports': 'off',
			'max-lines': 'off',
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata', '**/decoratorMetadata.js']}],
			// XO's rule, but names that other protocols and parsers fix may stand as keys of object literals.
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: ['variable', 'function', 'classProperty', 'parameterProperty', 'classMethod', 'typeMethod', 'accessor'],
					format: ['camelCase'],
					leadingUnderscore: 'allowSingleOrDouble',
					trailingUnderscore: 'allow',
					filter: {regex: '[- ]', match: false},
				},
				{selector: 'typeLike', format: ['PascalCase']},
				{selector: 'classProperty', format: null, modifiers: ['requiresQuotes']},
			],
			// The two rules undo each other's fixes on empty constructor bodies.
			'@stylistic/curly-newline': 'off',
		},
	},
	{
		files: ['**/__tests__/**/*.ts'],
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off',
			// Test libraries are development dependencies of the workspace.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default xoConfig;
