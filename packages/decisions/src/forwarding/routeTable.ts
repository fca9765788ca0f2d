import type { FleetConfiguration, Random, Route, Workspace } from '@laburnumstream/common';

/** Immutable index of a configuration's routes and keys. */
export class RouteTable {
  /** Routes by host and path prefix. */
  private readonly hosts = new Map<string, Map<string, Route>>();

  private readonly workspaces = new Map<string, Workspace>();

  constructor(readonly configuration: FleetConfiguration) {
    configuration.routes.forEach((route) => this.addRoute(route));
    configuration.workspaces.forEach((workspace) =>
      workspace.keys.forEach((key) => this.workspaces.set(key, workspace)),
    );
  }

  /** The route of a host with the longest matching path prefix. */
  match(host: string, path: string): Route | undefined {
    const routes = this.hosts.get(host.toLowerCase());
    if (!routes) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route) return route;
      // `lastIndexOf` clamps a negative position to 0.
      if (end === 0) break;
    }
    return undefined;
  }

  /** The workspace that a key belongs to. */
  findWorkspace(key: string): Workspace | undefined {
    return this.workspaces.get(key);
  }

  private addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const routes = this.hosts.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    this.hosts.set(host, routes);
  }
}

/** Picks a service of a route at random, in proportion to the targets' weights. */
export function pickService(route: Route, random: Random): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random.next() * total;
  const picked = route.targets.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (picked ?? route.targets[0])?.service;
}
