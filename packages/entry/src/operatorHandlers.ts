import { InvalidInput } from '@laburnumstream/common';
import type { Clock, KeyValueStore, WeightOrigin } from '@laburnumstream/common';
import {
  DataCentreState,
  checkPermission,
  computeEffects,
  manifestDigest,
  redactTokens,
} from '@laburnumstream/decisions';
import type { Change } from '@laburnumstream/decisions';
import { sha256 } from '@laburnumstream/runtime';
import { AuditTrail } from './auditTrail.js';
import {
  addException,
  applyChange,
  removeException,
  setDataCentre,
  startRollOut,
} from './changes.js';
import type { ConfigurationEditor, ConfigurationHolder } from './configurationEditor.js';
import type { Directory } from './directory.js';
import { operatorIn } from './operatorAuthentication.js';
import { changing, reading } from './operatorRoutes.js';
import type { OperatorCall, Route } from './operatorRoutes.js';
import { rollOutProgress } from './rollOutProgress.js';
import type { RollOutProgress } from './rollOutProgress.js';

function wholeNumber(query: URLSearchParams, name: string): number | undefined {
  const text = query.get(name);
  if (text === null) return undefined;
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new InvalidInput(`${name}: expected a whole number`);
}

/** What the administration API does on each of its routes. */
export class OperatorHandlers {
  private readonly trail: AuditTrail;

  constructor(
    private readonly instance: string,
    private readonly keeper: ConfigurationHolder,
    private readonly editor: ConfigurationEditor,
    store: KeyValueStore,
    private readonly directory: Directory,
    private readonly origin: WeightOrigin,
    private readonly clock: Clock,
  ) {
    this.trail = new AuditTrail(store);
  }

  /** The routes of the administration API. */
  routes(): Route[] {
    const { in: inService, out } = DataCentreState;
    return [
      reading('configuration', () => this.visible()),
      changing('POST', 'configuration', (call) =>
        this.change(applyChange(call.by, call.fields), call),
      ),
      reading('exceptions', () => this.keeper.configuration.exceptions),
      changing('POST', 'exceptions', (call) =>
        this.change(addException(call.by, call.fields), call),
      ),
      changing('DELETE', 'exceptions/([^/]+)', (call) =>
        this.change(removeException(call.by, call.parameter), call),
      ),
      changing('POST', 'data-centres/([^/]+)/take-out', (call) =>
        this.change(setDataCentre(call.by, call.parameter, out), call),
      ),
      changing('POST', 'data-centres/([^/]+)/return', (call) =>
        this.change(setDataCentre(call.by, call.parameter, inService), call),
      ),
      changing('POST', 'roll-outs/([^/]+)', (call) => this.rollOut(call)),
      reading('roll-outs/([^/]+)', ({ parameter }) => this.progress(parameter)),
      reading('status', () => this.status()),
      reading('audit', (call) => this.audit(call)),
      reading('changes/([^/]+)', (call) => this.outcome(call)),
    ];
  }

  private async change(change: Change, { mode, signal }: OperatorCall): Promise<unknown> {
    const { dryRun, ...named } = mode;
    const permitted: Change = {
      ...change,
      ...named,
      // The stored document may know better than the one in force here what the author may do.
      authorize: (document, changes) =>
        checkPermission(document, operatorIn(document, change.author), changes),
    };
    if (dryRun) return this.preview(permitted, signal);
    const { revision, changeId } = await this.editor.apply(permitted, signal);
    return { accepted: true, revision, changeId };
  }

  private async preview(change: Change, signal: AbortSignal): Promise<unknown> {
    const { before, after, changes } = await this.editor.preview(change, signal);
    const places = this.directory.live.map(({ name, dataCentre, service }) => ({
      instance: name,
      dataCentre,
      service,
    }));
    const effects = computeEffects(before, after, places, this.clock.wall());
    return {
      accepted: false,
      dryRun: true,
      revision: before.revision,
      changes: redactTokens(changes),
      effects,
    };
  }

  private async rollOut(call: OperatorCall): Promise<unknown> {
    const { by, parameter, fields, signal } = call;
    const version = String(fields.version ?? '');
    if (!version) throw new InvalidInput('The field version must be a non-empty text.');
    const manifest = await this.origin.manifest(parameter, version, signal);
    const digest = manifestDigest(manifest, sha256);
    return this.change(startRollOut(by, parameter, { version, digest }), call);
  }

  private async audit({ query, signal }: OperatorCall): Promise<unknown> {
    const since = wholeNumber(query, 'since');
    const limit = wholeNumber(query, 'limit');
    const wanted = {
      ...(since === undefined ? {} : { since }),
      ...(limit === undefined ? {} : { limit }),
    };
    return this.trail.read(this.keeper.configuration, wanted, signal);
  }

  private async outcome({ parameter, signal }: OperatorCall): Promise<unknown> {
    const revision = await this.editor.revisionOf(parameter, signal);
    return { changeId: parameter, accepted: revision !== undefined, revision: revision ?? null };
  }

  /** The document without hashes of tokens. */
  private visible(): unknown {
    const { workspaces, operators, audit, ...rest } = this.keeper.configuration;
    const visibleOperators = Object.entries(operators).map(([name, { tokenHashes, ...item }]) => [
      name,
      { ...item, tokens: tokenHashes.length },
    ]);
    const visibleWorkspaces = Object.entries(workspaces).map(([name, { tokenHashes }]) => [
      name,
      { tokens: tokenHashes.length },
    ]);
    return {
      ...rest,
      workspaces: Object.fromEntries(visibleWorkspaces) as unknown,
      operators: Object.fromEntries(visibleOperators) as unknown,
    };
  }

  private progress(model: string): RollOutProgress {
    const { configuration } = this.keeper;
    return rollOutProgress(configuration, this.directory.live, model, this.clock.wall());
  }

  private status(): unknown {
    const { revision, dataCentres } = this.keeper.configuration;
    const members = this.directory.live.map(
      ({ name, dataCentre, service, leaving, serving, load }) => {
        const { inFlight = 0, limit = 0, queued = 0 } = load ?? {};
        return { name, dataCentre, service, leaving, serving, inFlight, limit, queued };
      },
    );
    return { instance: this.instance, revision, dataCentres, members };
  }
}
