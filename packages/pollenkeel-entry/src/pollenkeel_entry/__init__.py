"""Entry role: the HTTP front end of a pollenkeel cluster.

An entry forwards callers' requests to *upstreams*, the instances of a service. Each VM
runs an *agent*, which announces its upstreams and their free request slots to the
entries and passes the requests on. Entries also own *shards* of the batch jobs and
serve the operators' HTTP API.
"""
