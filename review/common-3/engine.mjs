// A plain server of the platform: answers each request after 10 ms with its id, its seal and a body of as many bytes as
// its argument says. It keeps the ids of what it has run, and lists them at /ran.
import { createServer } from 'node:http';

const body = 'x'.repeat(Number(process.argv[2] ?? 800));
const ran = [];
const server = createServer((request, response) => {
  if (request.url === '/ran') {
    response.end(JSON.stringify(ran));
    return;
  }
  request.resume();
  request.once('end', () => {
    const id = request.headers['laburnumstream-request-id'];
    if (id !== undefined) ran.push(id);
    setTimeout(() => {
      response.writeHead(200, {
        ...(id !== undefined && { 'laburnumstream-request-id': id }),
        'laburnumstream-server-seal': 'seal',
        'content-length': body.length,
      });
      response.end(body);
    }, 10);
  });
});
server.listen(0, '127.0.0.1', () => process.stdout.write(`${server.address().port}\n`));
