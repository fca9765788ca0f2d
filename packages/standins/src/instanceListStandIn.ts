import type { ServerResponse } from 'node:http';
import type { Instance } from '@laburnumstream/common';
import { HttpStandIn } from './httpStandIn.js';

interface InstanceListVersion {
  readonly setAt: number;
  readonly instances: readonly Instance[];
}

/** A stand-in for the platform's list of instances, which readers see with a delay. */
export class InstanceListStandIn extends HttpStandIn {
  private readonly versions: InstanceListVersion[] = [{ setAt: 0, instances: [] }];

  constructor(private readonly lagMs = 0) {
    super();
  }

  get instances(): readonly Instance[] {
    return this.versions[this.versions.length - 1]!.instances;
  }

  /** Replaces the list; readers see the new list after the lag. */
  set(instances: readonly Instance[]): void {
    this.versions.push({ setAt: Date.now(), instances });
  }

  protected override handle(_request: unknown, response: ServerResponse): void {
    const visible = this.versions.filter(({ setAt }) => setAt <= Date.now() - this.lagMs);
    this.send(response, 200, (visible[visible.length - 1] ?? this.versions[0]!).instances);
  }
}
