package org.whinhead.settings.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.TeamId;

/**
 * The documents in force and their typed values. Immutable, and equal on all daemons that have
 * folded the log to the same offset.
 */
public final class DeploymentSettings {

    /** Settings without documents. */
    public static final DeploymentSettings EMPTY = of(List.of());

    private final TreeMap<DocumentPath, StoredDocument> mDocuments;
    private final Map<String, Customer> mCustomersByKeyHash = new HashMap<>();

    private DeploymentSettings(final TreeMap<DocumentPath, StoredDocument> documents) {
        mDocuments = documents;
        for (final Customer customer : customers()) {
            customer.keyHashes().forEach(hash -> mCustomersByKeyHash.put(hash, customer));
        }
    }

    /**
     * Creates settings from the documents in force, for example from a checkpoint.
     *
     * @param documents the documents, each path once
     * @return the settings
     */
    public static DeploymentSettings of(final Collection<StoredDocument> documents) {
        final TreeMap<DocumentPath, StoredDocument> byPath = new TreeMap<>();
        documents.forEach(document -> byPath.put(document.path(), document));
        return new DeploymentSettings(byPath);
    }

    /**
     * Returns settings with other documents, reusing documents that are already parsed.
     *
     * @param texts the JSON texts in force, by path
     * @param revisions the function that returns the revision of a path
     * @return the settings; documents whose revision is unchanged are not parsed again
     */
    public DeploymentSettings refreshed(
            final Map<String, String> texts, final ToLongFunction<String> revisions) {
        final TreeMap<DocumentPath, StoredDocument> documents = new TreeMap<>();
        for (final Map.Entry<String, String> entry : texts.entrySet()) {
            final DocumentPath path = DocumentPath.parse(entry.getKey());
            final long revision = revisions.applyAsLong(entry.getKey());
            final StoredDocument existing = mDocuments.get(path);
            final boolean isUnchanged = existing != null && existing.revision() == revision;
            documents.put(
                    path,
                    isUnchanged ? existing : new StoredDocument(path, entry.getValue(), revision));
        }
        return new DeploymentSettings(documents);
    }

    /**
     * Returns a copy with one document set; the caller must have validated the change.
     *
     * @param document the document
     * @return the copy
     */
    public DeploymentSettings with(final StoredDocument document) {
        final TreeMap<DocumentPath, StoredDocument> documents = new TreeMap<>(mDocuments);
        documents.put(document.path(), document);
        return new DeploymentSettings(documents);
    }

    /**
     * Returns a copy without one document; the caller must have validated the change.
     *
     * @param path the document's path
     * @return the copy
     */
    public DeploymentSettings without(final DocumentPath path) {
        final TreeMap<DocumentPath, StoredDocument> documents = new TreeMap<>(mDocuments);
        documents.remove(path);
        return new DeploymentSettings(documents);
    }

    /** Returns every document, sorted by path. */
    public Collection<StoredDocument> documents() {
        return List.copyOf(mDocuments.values());
    }

    /** Returns the document at a path, if there is one. */
    public Optional<StoredDocument> document(final DocumentPath path) {
        return Optional.ofNullable(mDocuments.get(path));
    }

    /**
     * Returns the documents below a prefix, sorted by path.
     *
     * @param prefix a path that ends in a slash, for example {@code /teams/filing/}
     * @return the documents
     */
    public List<StoredDocument> documentsUnder(final String prefix) {
        return mDocuments.values().stream()
                .filter(document -> document.path().text().startsWith(prefix))
                .toList();
    }

    /**
     * Returns the paths whose documents this program cannot use, because it does not know their
     * kind or schema number. They remain in force; a daemon that has any reports itself as not able
     * to serve.
     */
    public List<DocumentPath> unusablePaths() {
        return mDocuments.values().stream()
                .filter(document -> document.value().isEmpty())
                .map(StoredDocument::path)
                .toList();
    }

    /** Returns the customers, each with its tier, except those whose tier is unusable. */
    public List<Customer> customers() {
        final List<Customer> customers = new ArrayList<>();
        for (final DocumentValue.CustomerEntry entry :
                valuesOf(DocumentValue.CustomerEntry.class)) {
            valueAt(entry.tier(), DocumentValue.TierEntry.class)
                    .map(tier -> toCustomer(entry, tier))
                    .ifPresent(customers::add);
        }
        return customers;
    }

    private static Customer toCustomer(
            final DocumentValue.CustomerEntry entry, final DocumentValue.TierEntry tier) {
        return new Customer(
                entry.id(),
                entry.team(),
                tier.tier(),
                entry.keyHashes(),
                entry.weight(),
                entry.tokensPerSecond());
    }

    /**
     * Returns the customer that has a key.
     *
     * @param keyHash the key's SHA-256 hash in lower-case hex
     * @return the customer, or empty if no customer has the key
     */
    public Optional<Customer> customerByKeyHash(final String keyHash) {
        return Optional.ofNullable(mCustomersByKeyHash.get(keyHash));
    }

    /** Returns the budget of a team, if its subtree has one. */
    public Optional<DocumentValue.Budget> budget(final TeamId team) {
        return valuesOf(DocumentValue.Budget.class).stream()
                .filter(budget -> budget.team().equals(team))
                .findFirst();
    }

    /** Returns the tiers, sorted by name. */
    public List<DocumentValue.TierEntry> tiers() {
        return valuesOf(DocumentValue.TierEntry.class);
    }

    /** Returns the versions of all models, sorted by name and version. */
    public List<DocumentValue.ModelEntry> models() {
        return valuesOf(DocumentValue.ModelEntry.class);
    }

    /**
     * Returns whether a model version is configured, and its adapter, if any.
     *
     * @param model the model
     * @return true if requests may name the model
     */
    public boolean isModelConfigured(final ModelRef model) {
        return models().stream()
                .filter(entry -> entry.model().name().equals(model.name()))
                .filter(entry -> entry.model().version().equals(model.version()))
                .anyMatch(entry -> model.adapter().map(entry.adapters()::contains).orElse(true));
    }

    /** Returns the plain services, sorted by name. */
    public List<DocumentValue.ServiceEntry> services() {
        return valuesOf(DocumentValue.ServiceEntry.class);
    }

    /** Returns the plain service with a name, if there is one. */
    public Optional<DocumentValue.ServiceEntry> service(final String name) {
        return services().stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Returns the failure domains, each with the minimum number of VMs that must run there. */
    public List<DocumentValue.DomainEntry> domains() {
        return valuesOf(DocumentValue.DomainEntry.class);
    }

    /** Returns the machine classes. */
    public List<DocumentValue.MachineClassEntry> machineClasses() {
        return valuesOf(DocumentValue.MachineClassEntry.class);
    }

    /** Returns the pools of engines. */
    public List<DocumentValue.PoolEntry> pools() {
        return valuesOf(DocumentValue.PoolEntry.class);
    }

    /** Returns the limits on fleet changes; if empty, the program's defaults apply. */
    public Optional<DocumentValue.PaceEntry> pace() {
        return valuesOf(DocumentValue.PaceEntry.class).stream().findFirst();
    }

    /** Returns the parameters of routing; if empty, the program's defaults apply. */
    public Optional<DocumentValue.RoutingEntry> routing() {
        return valuesOf(DocumentValue.RoutingEntry.class).stream().findFirst();
    }

    /** Returns the parameters of retries; if empty, the program's defaults apply. */
    public Optional<DocumentValue.RetriesEntry> retries() {
        return valuesOf(DocumentValue.RetriesEntry.class).stream().findFirst();
    }

    private <T extends DocumentValue> List<T> valuesOf(final Class<T> type) {
        return mDocuments.values().stream()
                .flatMap(document -> document.value().stream())
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private <T extends DocumentValue> Optional<T> valueAt(
            final DocumentPath path, final Class<T> type) {
        return document(path)
                .flatMap(StoredDocument::value)
                .filter(type::isInstance)
                .map(type::cast);
    }
}
