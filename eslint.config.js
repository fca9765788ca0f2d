import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import globals from 'globals';

/** Packages that each package may import besides itself; imports point downward only. */
const allowed = {
  common: [],
  decisions: ['common'],
  protocol: [],
  clients: ['common', 'decisions', 'runtime'],
  runtime: ['common', 'charts'],
  links: ['common', 'decisions', 'protocol'],
  entry: ['common', 'decisions', 'links', 'clients', 'protocol', 'runtime'],
  agent: ['common', 'decisions', 'links', 'clients', 'protocol', 'runtime'],
  cli: ['common', 'agent', 'entry', 'runtime'],
  standins: ['common', 'decisions'],
  forwarding: ['common', 'decisions', 'links', 'protocol', 'runtime'],
  sidecar: ['common', 'decisions', 'links', 'protocol', 'runtime'],
};

const pureImports = ['node:*', 'undici', 'winston', 'nact'];

function importRule([name, names]) {
  const others = Object.keys(allowed).filter((other) => other !== name && !names.includes(other));
  const group = others.map((other) => `@laburnumstream/${other}`);
  const pure = name === 'common' || name === 'decisions' ? pureImports : [];
  return {
    files: [`packages/${name}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: [...group, ...pure, 'node:child_process', 'child_process'],
              message: 'Imports point downward only; see docs/architecture.md.',
            },
          ],
        },
      ],
    },
  };
}

const pureCode = {
  files: ['packages/decisions/src/**/*.ts', 'packages/common/src/**/*.ts'],
  rules: {
    'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'performance', 'process'],
    'no-restricted-properties': [
      'error',
      { object: 'Date', property: 'now' },
      { object: 'Math', property: 'random' },
    ],
  },
};

/** Airbnb rules that the house style settles otherwise; see docs/house-style.md. */
const houseRules = {
  'import-x/prefer-default-export': 'off',
  'import-x/extensions': 'off',
  'import-x/no-unresolved': 'off',
  'import-x/no-cycle': 'error',
  'no-console': 'error',
  // A promise that is deliberately not awaited is marked with void.
  'no-void': 'off',
  'n/no-process-exit': 'off',
  'n/no-sync': 'off',
  'n/hashbang': 'off',
  'class-methods-use-this': 'off',
  '@typescript-eslint/class-methods-use-this': [
    'error',
    { ignoreClassesThatImplementAnInterface: true, ignoreOverrideMethods: true },
  ],
  'no-underscore-dangle': 'off',
  'n/no-unsupported-features/node-builtins': 'off',
  '@typescript-eslint/no-redeclare': 'off',
  '@typescript-eslint/no-enum': 'off',
  '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
  'no-use-before-define': 'off',
  'max-lines': ['error', { max: 400 }],
  'no-restricted-syntax': [
    'error',
    { selector: 'TSEnumDeclaration', message: 'Use constant objects.' },
    { selector: 'ThrowStatement > Literal', message: 'Throw a typed failure.' },
    {
      selector: 'ThrowStatement > NewExpression[callee.name="Error"]',
      message: 'Throw a typed failure.',
    },
    { selector: 'TSInterfaceDeclaration[id.name=/^I[A-Z][a-z]/]', message: 'No type prefixes.' },
    { selector: 'ForInStatement', message: 'Iterate over keys instead.' },
  ],
  // Loops that await in sequence are the plain form of retry, watch and transfer loops.
  'no-await-in-loop': 'off',
  // `for await` and ordered loops need continue.
  'no-continue': 'off',
};

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/gen/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  { languageOptions: { globals: globals.node }, settings: { node: { version: '>=20.11.0' } } },
  { rules: houseRules },
  ...Object.entries(allowed).map(importRule),
  pureCode,
  { files: ['**/failures.ts'], rules: { 'max-classes-per-file': 'off' } },
  {
    files: ['packages/standins/**', 'bench/**', 'features/**'],
    rules: { 'no-bitwise': 'off', '@typescript-eslint/class-methods-use-this': 'off' },
  },
  {
    files: ['eslint.config.js', 'platform/bundle.mjs', 'features/**', 'bench/**'],
    rules: { 'no-console': 'off', 'import-x/no-extraneous-dependencies': 'off' },
  },
].filter(Boolean);
