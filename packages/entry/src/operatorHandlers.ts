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
  setDataCentreState,
  startRollOut,
} from './changes.js';
import type { ConfigurationEditor, ConfigurationHolder } from './configurationEditor.js';
import type { MemberDirectory } from './memberDirectory.js';
import { getOperator } from './operatorAuthentication.js';
import { operatorRoute, viewerRoute } from './operatorRoutes.js';
import type { OperatorCall, Route } from './operatorRoutes.js';
import { computeRollOutProgress } from './rollOutProgress.js';
import type { RollOutProgress } from './rollOutProgress.js';

function parseWholeNumber(query: URLSearchParams, name: string): number | undefined {
  const text = query.get(name);
  if (text === null) return undefined;
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new InvalidInput(`${name}: expected a whole number`);
}

/** Handlers of the administration API's routes. */
export class OperatorHandlers {
  private readonly auditTrail: AuditTrail;

  constructor(
    private readonly instance: string,
    private readonly holder: ConfigurationHolder,
    private readonly editor: ConfigurationEditor,
    store: KeyValueStore,
    private readonly directory: MemberDirectory,
    private readonly origin: WeightOrigin,
    private readonly clock: Clock,
  ) {
    this.auditTrail = new AuditTrail(store);
  }

  /** The routes of the administration API. */
  getRoutes(): Route[] {
    const { in: inService, out } = DataCentreState;
    return [
      viewerRoute('configuration', () => this.getConfiguration()),
      operatorRoute('POST', 'configuration', (call) =>
        this.applyOrPreview(applyChange(call.attribution, call.fields), call),
      ),
      viewerRoute('exceptions', () => this.holder.configuration.exceptions),
      operatorRoute('POST', 'exceptions', (call) =>
        this.applyOrPreview(addException(call.attribution, call.fields), call),
      ),
      operatorRoute('DELETE', 'exceptions/([^/]+)', (call) =>
        this.applyOrPreview(removeException(call.attribution, call.parameter), call),
      ),
      operatorRoute('POST', 'data-centres/([^/]+)/take-out', (call) =>
        this.applyOrPreview(setDataCentreState(call.attribution, call.parameter, out), call),
      ),
      operatorRoute('POST', 'data-centres/([^/]+)/return', (call) =>
        this.applyOrPreview(setDataCentreState(call.attribution, call.parameter, inService), call),
      ),
      operatorRoute('POST', 'roll-outs/([^/]+)', (call) => this.beginRollOut(call)),
      viewerRoute('roll-outs/([^/]+)', ({ parameter }) => this.getRollOutProgress(parameter)),
      viewerRoute('status', () => this.getStatus()),
      viewerRoute('audit', (call) => this.readAuditTrail(call)),
      viewerRoute('changes/([^/]+)', (call) => this.getChangeOutcome(call)),
    ];
  }

  private async applyOrPreview(
    change: Change,
    { changeOptions, signal }: OperatorCall,
  ): Promise<unknown> {
    const { dryRun, ...options } = changeOptions;
    const checkedChange: Change = {
      ...change,
      ...options,
      // Checked against the stored document, which may be newer than the one in force here.
      authorize: (document, changes) =>
        checkPermission(document, getOperator(document, change.author), changes),
    };
    if (dryRun) return this.preview(checkedChange, signal);
    const { revision, changeId } = await this.editor.apply(checkedChange, signal);
    return { accepted: true, revision, changeId };
  }

  private async preview(change: Change, signal: AbortSignal): Promise<unknown> {
    const { before, after, changes } = await this.editor.preview(change, signal);
    const places = this.directory.liveMembers.map(({ name, dataCentre, service }) => ({
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

  private async beginRollOut(call: OperatorCall): Promise<unknown> {
    const { attribution, parameter, fields, signal } = call;
    const version = String(fields.version ?? '');
    if (!version) throw new InvalidInput('The field version must be a non-empty text.');
    const manifest = await this.origin.manifest(parameter, version, signal);
    const digest = manifestDigest(manifest, sha256);
    return this.applyOrPreview(startRollOut(attribution, parameter, { version, digest }), call);
  }

  private async readAuditTrail({ query, signal }: OperatorCall): Promise<unknown> {
    const since = parseWholeNumber(query, 'since');
    const limit = parseWholeNumber(query, 'limit');
    const auditQuery = {
      ...(since === undefined ? {} : { since }),
      ...(limit === undefined ? {} : { limit }),
    };
    return this.auditTrail.read(this.holder.configuration, auditQuery, signal);
  }

  private async getChangeOutcome({ parameter, signal }: OperatorCall): Promise<unknown> {
    const revision = await this.editor.findRevision(parameter, signal);
    return { changeId: parameter, accepted: revision !== undefined, revision: revision ?? null };
  }

  /** The document without the audit trail, with token hashes replaced by their number. */
  private getConfiguration(): unknown {
    const { workspaces, operators, audit, ...rest } = this.holder.configuration;
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

  private getRollOutProgress(model: string): RollOutProgress {
    const { configuration } = this.holder;
    return computeRollOutProgress(
      configuration,
      this.directory.liveMembers,
      model,
      this.clock.wall(),
    );
  }

  private getStatus(): unknown {
    const { revision, dataCentres } = this.holder.configuration;
    const members = this.directory.liveMembers.map(
      ({ name, dataCentre, service, leaving, serving, load }) => {
        const { inFlight = 0, limit = 0, queued = 0 } = load ?? {};
        return { name, dataCentre, service, leaving, serving, inFlight, limit, queued };
      },
    );
    return { instance: this.instance, revision, dataCentres, members };
  }
}
